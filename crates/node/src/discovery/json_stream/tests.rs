use super::*;
use proptest::prelude::*;
use rstest::rstest;

/// Returns the objects found in `text` when it is received in pieces of these lengths.
fn objects_in(text: &[u8], cuts: &[usize]) -> Result<Vec<String>, JsonStreamError> {
    let mut objects = JsonStream::default();
    let mut found = Vec::new();
    let mut start = 0;
    for cut in cuts.iter().map(|cut| cut % 40).chain([text.len()]) {
        let end = (start + cut).min(text.len());
        objects.push(&text[start..end]);
        start = end;
        while let Some(object) = objects.next_object()? {
            found.push(String::from_utf8(object).unwrap());
        }
    }
    Ok(found)
}

#[rstest]
#[case::one_a_line("{\"a\":1}\n\n{\"b\":2}\n", &["{\"a\":1}", "{\"b\":2}"])]
#[case::indented("{\r\n  \"a\": [\r\n    {}\r\n  ]\r\n}\r\n", &["{\r\n  \"a\": [\r\n    {}\r\n  ]\r\n}"])]
#[case::nothing_between("{}{}", &["{}", "{}"])]
#[case::braces_in_strings(r#"{"}\"}":"]\\"}{"a":"{"}"#, &[r#"{"}\"}":"]\\"}"#, r#"{"a":"{"}"#])]
#[case::half("\n\n{\"a\":[1,", &[])]
fn objects_are_found_however_they_are_laid_out(#[case] text: &str, #[case] expected: &[&str]) {
    for piece in 1..=text.len() {
        assert_eq!(
            objects_in(text.as_bytes(), &vec![piece; text.len()]).unwrap(),
            expected,
            "in pieces of {piece} bytes"
        );
    }
}

#[rstest]
#[case("nonsense", "'n'")]
#[case("{}]", "']'")]
#[case("[]", "'['")]
#[case("{} \"a\"", "'\"'")]
fn an_error_names_what_is_not_an_object(#[case] text: &str, #[case] named: &str) {
    let error = objects_in(text.as_bytes(), &[]).unwrap_err().to_string();
    assert!(error.contains(named), "{error}");
}

#[test]
fn an_object_without_end_is_an_error() {
    let mut objects = JsonStream::default();
    objects.push(b"{\"a\":\"");
    let spaces = vec![b' '; 1 << 20];
    let error = (0..8).find_map(|_| {
        objects.push(&spaces);
        objects.next_object().err()
    });
    assert_eq!(error, Some(JsonStreamError::ObjectTooLong));
    assert_eq!(
        JsonStreamError::ObjectTooLong.to_string(),
        "JSON object is longer than 4 MiB"
    );
}

proptest! {
    /// Lists of both layouts, with arbitrary text and split anywhere, are read as they were written.
    #[test]
    fn lists_are_read_as_they_were_written(
        lists in prop::collection::vec((any::<u64>(), prop::collection::vec(any::<String>(), 0..4), any::<bool>()), 0..5),
        cuts in prop::collection::vec(any::<usize>(), 0..60),
    ) {
        let value = |(seq, hosts, _): &(u64, Vec<String>, bool)| serde_json::json!({"seq": seq, "hosts": hosts});
        let written = lists.iter().map(|list| if list.2 { serde_json::to_string_pretty(&value(list)).unwrap() } else { value(list).to_string() });
        let text = written.collect::<Vec<_>>().join("\n");
        let found = objects_in(text.as_bytes(), &cuts).unwrap();
        let read: Vec<serde_json::Value> = found.iter().map(|text| serde_json::from_str(text).unwrap()).collect();
        prop_assert_eq!(read, lists.iter().map(value).collect::<Vec<_>>());
    }
}
