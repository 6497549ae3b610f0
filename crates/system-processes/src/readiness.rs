//! The readiness address: the platform's probes, and the operators' requests for the slot report.

use crate::operator::write_json;
use crate::proxy::Shared;
use crate::slot_report;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tindock_http1::{request_head, write_local_answer, Read};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Slot reports that are sent at the same time; each may be several MB.
const MAX_CONCURRENT_REPORTS: usize = 4;

/// `GET /v1/readiness`: 200 while the proxy accepts new connections, with an empty body. `GET /v1/loans` is
/// the slot report for operators (docs/openapi/desk.yaml).
pub async fn serve(shared: Shared, probe: TcpListener) {
    let open = Rc::new(Cell::new(0usize));
    let reports = Rc::new(Cell::new(0usize));
    loop {
        let Ok((mut stream, _)) = probe.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= 64 {
            continue;
        }
        open.set(open.get() + 1);
        let (shared, open, reports) = (shared.clone(), open.clone(), reports.clone());
        tokio::task::spawn_local(async move {
            let mut buf = Vec::new();
            while let Ok(Ok(1..)) = timeout(Duration::from_secs(10), stream.read_buf(&mut buf)).await {
                match request_head(&buf, 4096) {
                    Read::Partial => continue,
                    Read::Invalid(_) => break,
                    Read::Done { value, used } => {
                        buf.drain(..used);
                        if slot_report::is_report_request(&value) {
                            if reports.get() >= MAX_CONCURRENT_REPORTS {
                                let mut out = Vec::new();
                                write_local_answer(&mut out, 503, None, Some(1000), true);
                                let _ = stream.write_all(&out).await;
                                break;
                            }
                            let text = shared.borrow().slot_report().to_json();
                            reports.set(reports.get() + 1);
                            let written = write_json(&mut stream, 200, "OK", text.as_bytes(), value.close);
                            // A reader that stalls holds one of the connections for probes no longer than
                            // this.
                            let written = timeout(Duration::from_secs(5), written).await;
                            reports.set(reports.get() - 1);
                            if !matches!(written, Ok(Ok(()))) || value.close {
                                break;
                            }
                            continue;
                        }
                        let status = if shared.borrow().ready() { 200 } else { 503 };
                        let mut out = Vec::new();
                        write_local_answer(&mut out, status, None, None, value.close);
                        if stream.write_all(&out).await.is_err() || value.close {
                            break;
                        }
                    }
                }
            }
            open.set(open.get() - 1);
        });
    }
}
