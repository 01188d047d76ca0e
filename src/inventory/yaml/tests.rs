//! The lines of YAML errors, and the limit on the tree's size.

use super::*;
use crate::config::Limits;

fn parse(text: &str) -> Result<Node, YamlError> {
    super::parse(text, &Limits::for_sockets(64))
}

#[test]
fn every_error_names_its_line() {
    assert_eq!(
        parse("a: 1\nb: 2\na: 3\n").unwrap_err(),
        YamlError::new(3, YamlProblem::DuplicateKey("a".into()))
    );
    let duplicate = parse("a: 1\nb: 2\na: 3\n").unwrap_err();
    assert_eq!(duplicate.to_string(), "line 3: \"a\" stands twice");
    assert_eq!(parse("a: [1, 2\nb: }\n").unwrap_err().line, 2);
    assert_eq!(parse("a: 1\n---\nb: 1\n").unwrap_err().line, 2);
    let tree = parse("a:\n  b: x\n").unwrap();
    let b = tree.get("a").and_then(|a| a.get("b")).unwrap();
    let error = b.parsed::<u32>("b").unwrap_err();
    assert_eq!(error, YamlError::new(2, YamlProblem::InvalidValue { what: "b".into(), text: "x".into() }));
    assert_eq!(error.to_string(), "line 2: b: \"x\" is no such value");
}

/// Guards against a small file whose nested aliases expand until memory is exhausted.
#[test]
fn aliases_cannot_grow_without_bound() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_string();
    for n in 1..9 {
        let previous = format!("*a{}", n - 1);
        text += &format!("a{n}: &a{n} [{}]\n", vec![previous; 10].join(", "));
    }
    assert!(parse(&text).unwrap_err().problem.to_string().contains("too many nodes"));
    assert_eq!(parse("a: &x 1\nb: *x\n").unwrap().get("b").unwrap().scalar("b"), Ok("1"));
}
