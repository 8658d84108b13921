use super::*;
use rstest::rstest;

/// The tenant index that placement receives for an `OPEN` line with these fields.
#[rstest]
#[case::first("c=chat,t=acme,d=100,g=a", Some(0))]
#[case::second("c=chat,d=100,t=globex", Some(1))]
#[case::not_in_the_settings("c=chat,t=nobody,d=100", None)]
#[case::none("c=chat,d=100", None)]
fn the_request_contains_the_index_of_the_tenant(
    #[case] fields: &str,
    #[case] expected: Option<usize>,
) {
    let classes = ["chat".to_string()];
    let tenants = ["acme".to_string(), "globex".to_string()];
    let names = SettingsNames {
        classes: &classes,
        tenants: &tenants,
    };
    let line = format!("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 {fields}\r\n");
    let Ok(FirstLine::Open(open)) = FirstLine::parse(line.as_bytes(), names) else {
        panic!("not parsed as an OPEN line: {line}");
    };
    assert_eq!(open.request_info(true).tenant, expected);
}
