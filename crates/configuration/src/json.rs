//! Parses JSON to a tree with nanoserde's lexer. That lexer accepts more than JSON (comments, `+1`, `01`, any
//! escape), treats a NUL as the end of the text, recurses once per comment, and rejects `1e+5`; the code
//! around it corrects this.

use std::borrow::Cow;
use std::str::Chars;

use nanoserde::{DeJsonErr, DeJsonState, DeJsonTok};

use crate::error::{truncate_name, ReadError, SyntaxError};

/// Maximum length of a text in bytes: about thirty thousand routes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;

/// Maximum nesting depth of arrays and objects.
pub const MAX_DEPTH: usize = 32;

/// Maximum number of values in a text, so that `[0,0,0,...` cannot become a tree many times its length.
pub const MAX_VALUES: usize = 400_000;

pub(crate) enum Value {
    Null,
    Bool,
    /// Written without a fraction or exponent, and not negative.
    Whole(u64),
    Number(f64),
    String(String),
    Array(Vec<Value>),
    Object(Vec<(String, Value)>),
}

pub(crate) fn read(text: &[u8]) -> Result<Value, ReadError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ReadError::TooLong { bytes: text.len() as u64 });
    }
    let text = std::str::from_utf8(text).map_err(|e| ReadError::NotUtf8 { at: e.valid_up_to() as u64 })?;
    let text = check_characters(text)?;
    let mut reader = Reader { state: DeJsonState::default(), rest: text.chars(), values: 0 };
    reader.state.next(&mut reader.rest);
    reader.step()?;
    let value = reader.value(0)?;
    match reader.state.tok {
        DeJsonTok::Eof => Ok(value),
        _ => Err(reader.error(SyntaxError::Trailing)),
    }
}

/// Rejects what the lexer would accept although it is not JSON, as far as single characters show it; and
/// removes the plus of `1e+5`, which the lexer would reject.
fn check_characters(text: &str) -> Result<Cow<'_, str>, ReadError> {
    let bytes = text.as_bytes();
    let at = |i: usize| bytes.get(i).copied().unwrap_or(0);
    let error = |i: usize, wrong| {
        let before = &bytes[..i];
        let line_start = before.iter().rposition(|&b| b == b'\n').map_or(0, |n| n + 1);
        let line = before.iter().filter(|&&b| b == b'\n').count() as u64 + 1;
        Err(ReadError::Unreadable { line, column: (i - line_start) as u64 + 1, wrong })
    };
    let (mut in_string, mut plus_positions, mut i) = (false, Vec::new(), 0);
    while i < bytes.len() {
        match (in_string, bytes[i]) {
            (_, b'"') => in_string = !in_string,
            (true, b'\\') => {
                // At the end of the text the lexer reports that it is incomplete.
                if !matches!(at(i + 1), b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' | b'u')
                    && i + 1 < bytes.len()
                {
                    return error(i, SyntaxError::Escape);
                }
                i += 1;
            }
            (true, 0..=0x1f) | (false, 0) => return error(i, SyntaxError::Control),
            (false, b'/') => return error(i, SyntaxError::Comment),
            (false, b'+') => {
                let number = i > 1 && matches!(at(i - 1), b'e' | b'E') && at(i - 2).is_ascii_digit();
                if !number || !at(i + 1).is_ascii_digit() {
                    return error(i, SyntaxError::Number);
                }
                plus_positions.push(i);
            }
            _ => {}
        }
        i += 1;
    }
    if plus_positions.is_empty() {
        return Ok(Cow::Borrowed(text));
    }
    let (mut output, mut from) = (String::with_capacity(text.len()), 0);
    for plus in plus_positions {
        output.push_str(&text[from..plus]);
        from = plus + 1;
    }
    output.push_str(&text[from..]);
    Ok(Cow::Owned(output))
}

struct Reader<'a> {
    state: DeJsonState,
    rest: Chars<'a>,
    values: usize,
}

impl Reader<'_> {
    fn error(&self, wrong: SyntaxError) -> ReadError {
        // After `check_characters` there is no NUL in the text, so here it can only be the lexer's end
        // marker.
        let ended = self.state.cur == '\0' && self.rest.as_str().is_empty();
        let wrong = if ended && wrong == SyntaxError::Token { SyntaxError::CutShort } else { wrong };
        let column = self.state.col.max(1) as u64;
        ReadError::Unreadable { line: self.state.line as u64 + 1, column, wrong }
    }

    fn step(&mut self) -> Result<(), ReadError> {
        let stepped: Result<(), DeJsonErr> = self.state.next_tok(&mut self.rest);
        stepped.map_err(|_| self.error(SyntaxError::Token))?;
        match self.state.tok {
            DeJsonTok::U64(_) | DeJsonTok::I64(_) | DeJsonTok::F64(_)
                if !is_json_number(&self.state.numbuf) =>
            {
                Err(self.error(SyntaxError::Number))
            }
            _ => Ok(()),
        }
    }

    /// Reads the value that starts with the current token, and advances past it.
    fn value(&mut self, depth: usize) -> Result<Value, ReadError> {
        self.values += 1;
        if self.values > MAX_VALUES {
            return Err(self.error(SyntaxError::TooMany));
        }
        let value = match &self.state.tok {
            DeJsonTok::Null => Value::Null,
            DeJsonTok::Bool(_) => Value::Bool,
            DeJsonTok::U64(number) => Value::Whole(*number),
            DeJsonTok::I64(number) => Value::Number(*number as f64),
            DeJsonTok::F64(number) => Value::Number(*number),
            DeJsonTok::Str => Value::String(std::mem::take(&mut self.state.strbuf)),
            // The depth limit bounds the stack.
            DeJsonTok::BlockOpen | DeJsonTok::CurlyOpen if depth == MAX_DEPTH => {
                return Err(self.error(SyntaxError::TooDeep))
            }
            DeJsonTok::BlockOpen => return self.array(depth + 1),
            DeJsonTok::CurlyOpen => return self.object(depth + 1),
            _ => return Err(self.error(SyntaxError::Token)),
        };
        self.step()?;
        Ok(value)
    }

    fn array(&mut self, depth: usize) -> Result<Value, ReadError> {
        let mut values = Vec::new();
        self.step()?;
        if self.state.tok != DeJsonTok::BlockClose {
            loop {
                values.push(self.value(depth)?);
                match self.state.tok {
                    DeJsonTok::Comma => self.step()?,
                    DeJsonTok::BlockClose => break,
                    _ => return Err(self.error(SyntaxError::Token)),
                }
            }
        }
        self.step()?;
        Ok(Value::Array(values))
    }

    fn object(&mut self, depth: usize) -> Result<Value, ReadError> {
        let mut fields = Vec::new();
        self.step()?;
        if self.state.tok != DeJsonTok::CurlyClose {
            loop {
                if self.state.tok != DeJsonTok::Str {
                    return Err(self.error(SyntaxError::Token));
                }
                let key = std::mem::take(&mut self.state.strbuf);
                self.step()?;
                if self.state.tok != DeJsonTok::Colon {
                    return Err(self.error(SyntaxError::Token));
                }
                self.step()?;
                fields.push((key, self.value(depth)?));
                match self.state.tok {
                    DeJsonTok::Comma => self.step()?,
                    DeJsonTok::CurlyClose => break,
                    _ => return Err(self.error(SyntaxError::Token)),
                }
            }
        }
        // Sorted, because an object may have any number of keys.
        let mut keys: Vec<&str> = fields.iter().map(|(key, _)| key.as_str()).collect();
        keys.sort_unstable();
        if let Some(duplicate) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(self.error(SyntaxError::KeyTwice(truncate_name(duplicate[0]))));
        }
        self.step()?;
        Ok(Value::Object(fields))
    }
}

/// Whether a number is valid JSON: no leading zero before other digits, and digits on both sides of the
/// point.
fn is_json_number(number: &str) -> bool {
    let digits = number.strip_prefix('-').unwrap_or(number);
    let (whole, rest) = digits.split_at(digits.bytes().take_while(u8::is_ascii_digit).count());
    let whole_fits = !whole.is_empty() && (whole.len() == 1 || !whole.starts_with('0'));
    whole_fits && rest.strip_prefix('.').is_none_or(|r| r.starts_with(|c: char| c.is_ascii_digit()))
}
