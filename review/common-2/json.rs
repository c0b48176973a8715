//! A small JSON reader and writer, enough for the messages of the platform's store and of engines.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(values) => {
                write!(out, "[")?;
                for (index, value) in values.iter().enumerate() {
                    write!(out, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Object(members) => {
                write!(out, "{{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(out, "\\{c}")?,
            c if (c as u32) < 32 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    write!(out, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.skip()? {
            b'{' => {
                self.at += 1;
                let mut members = BTreeMap::new();
                while self.skip()? != b'}' {
                    let name = self.string()?;
                    self.skip().filter(|byte| *byte == b':')?;
                    self.at += 1;
                    members.insert(name, self.value()?);
                    if self.skip()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Object(members))
            }
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                while self.skip()? != b']' {
                    values.push(self.value()?);
                    if self.skip()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(values))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.skip().filter(|byte| *byte == b'"')?;
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            let mut encoded = [0; 4];
                            let c = char::from_u32(code)?;
                            text.extend_from_slice(c.encode_utf8(&mut encoded).as_bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                other => {
                    text.push(other);
                    self.at += 1;
                }
            }
        }
    }
}
