//! Deterministic completion text shared by engines and load generators.

use flamingolock_standins::answer::{ExpectedAnswer, expected_token};

#[test]
fn tokens_are_short_words_that_depend_on_prompt_and_index() {
    let answer = ExpectedAnswer::new(b"a survey");
    let other = ExpectedAnswer::new(b"another survey");
    for index in 0..100 {
        let token = answer.token(index);
        assert_eq!(token, expected_token(b"a survey", index));
        assert_eq!((token.len(), token.trim().len()), (7, 6));
        assert_ne!(token, answer.token(index + 1));
        assert_ne!(token, other.token(index));
    }
    let text = [answer.token(0), answer.token(1)].concat();
    assert_eq!(answer.text(2), text);
}
