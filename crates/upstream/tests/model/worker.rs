//! Behaviour of workers: valid answers, and those that faulty workers give.

use super::*;

/// The response to one request: pieces of bytes with a delay before each, and possibly the end of the
/// connection.
#[derive(Default)]
struct Response {
    pieces: Vec<(Duration, Vec<u8>)>,
    /// By a reset (true) or in an orderly way.
    ending: Option<bool>,
    runs: bool,
}

impl World {
    /// Processes bytes from the proxy.
    pub(super) fn on_bytes_at_worker(&mut self, conn: usize, bytes: &[u8]) {
        self.connections[conn].received.extend_from_slice(bytes);
        loop {
            let received = &self.connections[conn].received;
            let Read::Done { value: head, used } = request_head(received, 1 << 16) else { return };
            let mut body = Body::new(head.framing, 1 << 16);
            let Read::Done { used: more, .. } = body.push(&received[used..]) else { return };
            self.connections[conn].received.drain(..used + more);
            // Most workers drop unprocessed requests of a closed connection.
            if self.connections[conn].worker_ended
                || (self.connections[conn].proxy_closed && self.below(4) > 0)
            {
                continue;
            }
            self.serve(conn, &head, &body.bytes());
        }
    }

    fn serve(&mut self, conn: usize, head: &RequestHead, body: &[u8]) {
        let id = head.attempt_id.clone().unwrap_or_default();
        let expected = if head.method == "POST" { request_body(&id) } else { Vec::new() };
        if head.target != target(&id) || body != expected {
            self.report(Rule::UnknownRequest, format!("{id} was changed on its way"));
        }
        let response = self.response(conn, &id, head.method == "HEAD");
        if response.runs {
            *self.runs.entry(id.clone()).or_default() += 1;
        }
        self.connections[conn].carried.push(id);
        for (pause, piece) in response.pieces {
            let arrival = self.connections[conn].last_to_proxy.max(self.now) + pause;
            self.connections[conn].last_to_proxy = arrival;
            self.at(arrival, Event::ToProxy { connection: conn, bytes: piece });
        }
        if let Some(reset) = response.ending {
            self.connections[conn].worker_ended = true;
            let arrival = self.connections[conn].last_to_proxy.max(self.now);
            self.at(arrival, Event::Ended { connection: conn, reset });
        }
    }

    /// Makes an answer and records it for this id.
    fn make(&mut self, id: &str, status: u16, sealed: bool, is_head: bool) -> Vec<u8> {
        let number = self.made.get(id).map_or(0, Vec::len);
        let seal = sealed.then(|| format!("seal.{id}.{number}"));
        let body = format!("made for {id}, {number}, {}", "x".repeat(self.below(40))).into_bytes();
        let mut text = format!("HTTP/1.1 {status} S\r\nAttempt-Id: {id}\r\n").into_bytes();
        if let Some(seal) = &seal {
            text.extend(format!("Server-Seal: {seal}\r\n").into_bytes());
        }
        if !is_head && self.below(3) == 0 {
            text.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in body.chunks(7) {
                text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                text.extend(chunk);
                text.extend(b"\r\n");
            }
            text.extend(b"0\r\n\r\n");
        } else {
            text.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
            if !is_head {
                text.extend(&body);
            }
        }
        self.made.entry(id.to_string()).or_default().push(MadeAnswer { status, seal, body });
        text
    }

    fn refusal(id: Option<&str>) -> Vec<u8> {
        let id = id.map_or_else(String::new, |id| format!("Attempt-Id: {id}\r\n"));
        format!("HTTP/1.1 503 Full\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }

    /// Another answer to an earlier request; its body may look like an answer to this one.
    fn surplus(&mut self, conn: usize, id: &str) -> Vec<u8> {
        // A message with this request's own id is an answer to it, whichever send it belongs to.
        let carried = self.connections[conn].carried.last().filter(|earlier| *earlier != id);
        let earlier = carried.cloned().unwrap_or_else(|| "stranger".into());
        let forged = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: forged\r\nContent-Length: 0\r\n\r\n"
        );
        let (length, body) = match self.below(3) {
            // As if to a HEAD request.
            0 => (forged.len(), ""),
            _ => (forged.len(), forged.as_str()),
        };
        self.outcome.surplus += 1;
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {earlier}\r\nServer-Seal: old\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }

    fn response(&mut self, conn: usize, id: &str, is_head: bool) -> Response {
        let short_delay = self.span(0, 60);
        let runs = |pieces: Vec<(Duration, Vec<u8>)>| Response { pieces, ending: None, runs: true };
        let choice = if self.below(2) == 0 { 0 } else { self.below(20) };
        match choice {
            1 => Response { pieces: vec![(short_delay, Self::refusal(Some(id)))], ending: None, runs: false },
            2 => Response { pieces: vec![(short_delay, Self::refusal(None))], ending: None, runs: false },
            3 => {
                let text = format!("HTTP/1.1 421 Other\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                Response { pieces: vec![(short_delay, text.into_bytes())], ending: None, runs: false }
            }
            // The answer is truncated anywhere.
            4 | 5 => {
                let mut text = self.make(id, 200, true, is_head);
                text.truncate(self.below(text.len()));
                Response { pieces: vec![(short_delay, text)], ending: Some(choice == 4), runs: true }
            }
            6 => runs(Vec::new()),
            7 => {
                let late = self.span(200, 2500);
                runs(vec![(late, self.make(id, 200, true, is_head))])
            }
            // A second answer after a complete one: at once, or when the connection is idle or reused.
            8 => {
                let (first, second) = (self.make(id, 200, true, is_head), self.make(id, 200, true, is_head));
                let later = self.span(0, 80);
                runs(vec![(short_delay, first), (later, second)])
            }
            9 => {
                let surplus = self.surplus(conn, id);
                runs(vec![(short_delay, surplus), (Duration::ZERO, self.make(id, 200, true, is_head))])
            }
            10 => {
                let garbage = (0..self.below(60)).map(|_| self.rng.rand_u64() as u8).collect();
                let ending = [None, Some(true), Some(false)][self.below(3)];
                Response { pieces: vec![(short_delay, garbage)], ending, runs: true }
            }
            11 => runs(vec![(short_delay, self.make(id, 200, false, is_head))]),
            12 => {
                let status = [404, 500, 504][self.below(3)];
                runs(vec![(short_delay, self.make(id, status, true, is_head))])
            }
            // A status for "not run" without the proof.
            13 => {
                let status = [408, 429, 503][self.below(3)];
                runs(vec![(short_delay, self.make(id, status, true, is_head))])
            }
            // No length: a truncation cannot be detected.
            14 => {
                let status = [200, 404, 500][self.below(3)];
                let seal = format!("seal.{id}.open");
                let body = b"without a length".to_vec();
                let cut = self.below(body.len());
                let mut text =
                    format!("HTTP/1.1 {status} S\r\nAttempt-Id: {id}\r\nServer-Seal: {seal}\r\n\r\n")
                        .into_bytes();
                text.extend(&body[..cut]);
                self.made.entry(id.to_string()).or_default().push(MadeAnswer {
                    status,
                    seal: Some(seal),
                    body,
                });
                Response { pieces: vec![(short_delay, text)], ending: Some(false), runs: true }
            }
            15 => {
                let interim = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n".to_vec();
                runs(vec![(short_delay, interim), (MS, self.make(id, 200, true, is_head))])
            }
            // A refusal sent twice.
            16 => {
                let second_copy = (self.span(0, 80), Self::refusal(Some(id)));
                Response {
                    pieces: vec![(short_delay, Self::refusal(Some(id))), second_copy],
                    ending: None,
                    runs: false,
                }
            }
            // A refusal that belongs to no request, and then the answer.
            17 if !self.connections[conn].carried.is_empty() => {
                let stray = (short_delay, Self::refusal(None));
                runs(vec![stray, (self.span(0, 40), self.make(id, 200, true, is_head))])
            }
            18 => {
                let text = self.make(id, 200, true, is_head);
                Response { pieces: vec![(short_delay, text)], ending: Some(self.below(2) == 0), runs: true }
            }
            // Only an answer to another request.
            19 => {
                let surplus = self.surplus(conn, id);
                runs(vec![(short_delay, surplus)])
            }
            _ => runs(vec![(short_delay, self.make(id, 200, true, is_head))]),
        }
    }
}
