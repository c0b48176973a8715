//! Requests whose length is stated in unusual or malformed ways.

/// The end of a request: the headers that state its length, the empty line, and the body.
#[derive(Debug, Clone)]
pub struct Framing {
    /// What is unusual about it.
    pub name: String,
    /// The bytes that follow the other headers.
    pub bytes: Vec<u8>,
    /// The body, if the request is valid and complete.
    pub body: Option<Vec<u8>>,
}

impl Framing {
    fn refused(name: &str, bytes: impl Into<Vec<u8>>) -> Self {
        Self { name: name.to_string(), bytes: bytes.into(), body: None }
    }

    fn valid(name: &str, bytes: impl Into<Vec<u8>>, body: &str) -> Self {
        Self { name: name.to_string(), bytes: bytes.into(), body: Some(body.into()) }
    }

    /// A body with a length of this text.
    fn with_length(text: &str) -> Self {
        let name = format!("Content-Length: {text:?}");
        Self::refused(&name, format!("Content-Length: {text}\r\n\r\nhello"))
    }

    /// A body with a transfer coding of this text.
    fn with_coding(text: &str) -> Self {
        let name = format!("Transfer-Encoding: {text:?}");
        let bytes = format!("Transfer-Encoding: {text}\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        Self::refused(&name, bytes)
    }

    /// A chunked body of these bytes.
    fn with_chunks(chunks: &str) -> Self {
        let name = format!("chunks {chunks:?}");
        Self::refused(&name, format!("Transfer-Encoding: chunked\r\n\r\n{chunks}"))
    }
}

/// Lists framings that a server must refuse. None of them is the beginning of a valid request.
pub fn list_malformed() -> Vec<Framing> {
    let lengths = [
        "five",
        "",
        "-5",
        "+5",
        "5x",
        "0x5",
        "5.0",
        "5e0",
        "5 5",
        "5;",
        "5, 6",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999999999999999",
    ];
    let codings = ["chunked, gzip", "identity", "gzip", "xchunked", "chunked;q=1", ""];
    let chunks = [
        "10000000000000000\r\nhello\r\n0\r\n\r\n",
        "10000000000000005\r\nhello\r\n0\r\n\r\n",
        "000000000000000000005 5\r\nhello\r\n0\r\n\r\n",
        "-5\r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        "g\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        ";name=value\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n",
        "4\r\nhello\r\n0\r\n\r\n",
        "5\nhello\n0\n\n",
        "5\rhello\r0\r\r",
        "5;name=\n\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nno trailer\r\n\r\n",
    ];
    let heads = [
        ("lengths 5 and 6", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
        ("lengths 5 and five", "Content-Length: 5\r\nContent-Length: five\r\n\r\nhello"),
        ("a space before the colon of a length", "Content-Length : 5\r\n\r\nhello"),
        (
            "a space before the colon of a coding",
            "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ),
        ("a folded length", "Content-Length:\r\n 5\r\n\r\nhello"),
        ("a zero byte in a header", "X-Any: a\0b\r\nContent-Length: 5\r\n\r\nhello"),
        ("a header without a name", ": any\r\nContent-Length: 5\r\n\r\nhello"),
        ("a header without a colon", "Content-Length\r\n\r\nhello"),
    ];
    let lengths = lengths.into_iter().map(Framing::with_length);
    let codings = codings.into_iter().map(Framing::with_coding);
    let chunks = chunks.into_iter().map(Framing::with_chunks);
    let heads = heads.into_iter().map(|(name, bytes)| Framing::refused(name, bytes));
    lengths.chain(codings).chain(chunks).chain(heads).collect()
}

/// Lists unusual framings of complete requests. A server may refuse them, or take exactly their
/// body.
pub fn list_unusual() -> Vec<Framing> {
    let chunked = "Transfer-Encoding: chunked\r\n";
    let hello = "5\r\nhello\r\n0\r\n\r\n";
    let cases = [
        ("equal lengths", "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello".to_string()),
        ("a list of equal lengths", "Content-Length: 5, 5\r\n\r\nhello".to_string()),
        ("zeros before a length", "Content-Length: 0000000000000005\r\n\r\nhello".to_string()),
        ("a coding in capitals", format!("Transfer-Encoding: CHUNKED\r\n\r\n{hello}")),
        ("zeros before a chunk's size", format!("{chunked}\r\n00000{hello}")),
        ("a chunk extension", format!("{chunked}\r\n5;a=b\r\nhello\r\n0;c\r\n\r\n")),
        ("a space after a chunk's size", format!("{chunked}\r\n5 \r\nhello\r\n0\r\n\r\n")),
        ("a trailer", format!("{chunked}\r\n5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n")),
    ];
    cases.into_iter().map(|(name, bytes)| Framing::valid(name, bytes, "hello")).collect()
}

/// Lists framings with both a length and chunks, which agree or contradict each other. A server may
/// refuse them, or take the chunks and close the connection (RFC 9112, section 6.1).
pub fn list_ambiguous() -> Vec<Framing> {
    let chunked = "Transfer-Encoding: chunked\r\n";
    let hello = "5\r\nhello\r\n0\r\n\r\n";
    [0, 3, 5, hello.len(), 500]
        .into_iter()
        .flat_map(|length| {
            let stated = format!("Content-Length: {length}\r\n");
            [
                (format!("length {length} before chunks"), format!("{stated}{chunked}\r\n{hello}")),
                (format!("length {length} after chunks"), format!("{chunked}{stated}\r\n{hello}")),
            ]
        })
        .map(|(name, bytes)| Framing::valid(&name, bytes, "hello"))
        .collect()
}

/// Lists complete requests whose body has more codings than one layer of chunks. A server must refuse
/// those that it can't decode (RFC 9112, section 6.1).
pub fn list_coded() -> Vec<Framing> {
    let chunked = "Transfer-Encoding: chunked\r\n";
    let hello = "5\r\nhello\r\n0\r\n\r\n";
    let cases = [
        ("gzip before chunked", format!("Transfer-Encoding: gzip, chunked\r\n\r\n{hello}")),
        ("gzip in another header", format!("Transfer-Encoding: gzip\r\n{chunked}\r\n{hello}")),
        ("chunked twice", format!("{chunked}{chunked}\r\n{hello}")),
        ("chunked twice in a list", format!("Transfer-Encoding: chunked, chunked\r\n\r\n{hello}")),
    ];
    cases.into_iter().map(|(name, bytes)| Framing::refused(name, bytes)).collect()
}
