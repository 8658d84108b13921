//! Cuts a stream of JSON objects apart, however they are laid out and wherever its bytes are cut. Discovery writes an object a
//! line, or indented over many. What an object holds is read by a JSON library; this only finds where it ends.

/// The longest object that is read.
pub const LONGEST: usize = 4 << 20;

/// What has come of the stream and is not taken yet.
#[derive(Default)]
pub struct Objects {
    bytes: Vec<u8>,
    /// How far it has been looked through, and how many braces and brackets are open there.
    at: usize,
    depth: usize,
    /// There it is within a string, and behind a backslash in it.
    quoted: bool,
    escaped: bool,
}

impl Objects {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole object. `None` while its end, or all of it, is still to come: white space between objects is passed over.
    /// An error says what else stands there, or that an object is too long; nothing can be taken after it.
    pub fn take(&mut self) -> Result<Option<Vec<u8>>, String> {
        if self.depth == 0 {
            let blank = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.bytes.drain(..blank);
            self.at = 0;
        }
        while let Some(byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(self.bytes.drain(..self.at).collect()));
                    }
                }
                _ if self.depth == 0 => {
                    return Err(format!("{:?} where an object begins", char::from(*byte)))
                }
                _ => {}
            }
        }
        if self.bytes.len() > LONGEST {
            return Err("an object is too long".into());
        }
        Ok(None)
    }

    /// Whether an object has begun and not ended.
    pub fn half(&self) -> bool {
        self.depth > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rstest::rstest;

    /// Everything that comes out of `text` in pieces of these lengths.
    fn taken(text: &[u8], cuts: &[usize]) -> Result<Vec<String>, String> {
        let (mut objects, mut out, mut at) = (Objects::default(), Vec::new(), 0);
        for cut in cuts.iter().map(|cut| cut % 40).chain([text.len()]) {
            let end = (at + cut).min(text.len());
            objects.push(&text[at..end]);
            at = end;
            while let Some(object) = objects.take()? {
                out.push(String::from_utf8(object).unwrap());
            }
        }
        Ok(out)
    }

    #[rstest]
    #[case::one_a_line("{\"a\":1}\n\n{\"b\":2}\n", &["{\"a\":1}", "{\"b\":2}"])]
    #[case::indented("{\r\n  \"a\": [\r\n    {}\r\n  ]\r\n}\r\n", &["{\r\n  \"a\": [\r\n    {}\r\n  ]\r\n}"])]
    #[case::nothing_between("{}{}", &["{}", "{}"])]
    #[case::braces_in_strings(r#"{"}\"}":"]\\"}{"a":"{"}"#, &[r#"{"}\"}":"]\\"}"#, r#"{"a":"{"}"#])]
    #[case::half("\n\n{\"a\":[1,", &[])]
    fn objects_are_found_however_they_are_laid_out(#[case] text: &str, #[case] expected: &[&str]) {
        for piece in 1..text.len() + 1 {
            assert_eq!(taken(text.as_bytes(), &vec![piece; text.len()]).unwrap(), expected, "by {piece}");
        }
    }

    #[rstest]
    #[case("nonsense", "'n'")]
    #[case("{}]", "']'")]
    #[case("[]", "'['")]
    #[case("{} \"a\"", "'\"'")]
    fn what_is_no_object_is_named(#[case] text: &str, #[case] named: &str) {
        let error = taken(text.as_bytes(), &[]).unwrap_err();
        assert!(error.contains(named), "{error}");
    }

    #[test]
    fn an_object_without_end_is_given_up() {
        let mut objects = Objects::default();
        objects.push(b"{\"a\":\"");
        let spaces = vec![b' '; 1 << 20];
        let error = (0..8).find_map(|_| {
            objects.push(&spaces);
            objects.take().err()
        });
        assert_eq!(error.as_deref(), Some("an object is too long"));
    }

    proptest! {
        /// Lists in both layouts, with any text in them, cut anywhere, come out as they went in.
        #[test]
        fn lists_come_out_as_they_went_in(
            lists in prop::collection::vec((any::<u64>(), prop::collection::vec(any::<String>(), 0..4), any::<bool>()), 0..5),
            cuts in prop::collection::vec(any::<usize>(), 0..60),
        ) {
            let value = |(seq, hosts, _): &(u64, Vec<String>, bool)| serde_json::json!({"seq": seq, "hosts": hosts});
            let written = lists.iter().map(|list| match list.2 {
                true => serde_json::to_string_pretty(&value(list)).unwrap(),
                false => value(list).to_string(),
            });
            let text = written.collect::<Vec<_>>().join("\n");
            let out = taken(text.as_bytes(), &cuts).unwrap();
            let read: Vec<serde_json::Value> = out.iter().map(|text| serde_json::from_str(text).unwrap()).collect();
            prop_assert_eq!(read, lists.iter().map(value).collect::<Vec<_>>());
        }
    }
}
