//! When refused callers come back, and what they get then.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    comeback::Refusal,
    quota::Bucket,
    unit::Rate, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const TARGET: Span = Span::from_ms(1200);
const DEADLINE: Span = Span::from_ms(5000);
const SERVICE: Span = Span::from_ms(210);

fn refusal(code: Code) -> Refusal {
    Refusal {
        code,
        waited: Span::from_ms(20),
        left: Span::from_ms(580),
        target: Some(Span::from_ms(150)),
        service_time: Span::from_ms(45),
        earliest: Span::ZERO,
    }
}

/// A payout has 150 ms to be of full use. It was refused after 20 ms and told to
/// come back after a second, when its caller had given up.
#[test]
fn a_short_request_comes_back_while_it_is_of_use() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let wait = refusal(Code::RateExceeded)
            .retry_after(&mut rng)
            .expect("a wait");
        assert!(wait <= Span::from_ms(85), "{wait}");
        assert!(wait >= Span::from_ms(10), "{wait}");
    }
}

/// Guards against a caller that is told to come back before a token is there, and
/// is refused again.
#[test]
fn a_caller_comes_back_when_there_is_a_token() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for earliest in [0, 40, 70, 84, 150, 190].map(Span::from_ms) {
        let asked = Refusal {
            earliest,
            ..refusal(Code::RateExceeded)
        };
        for _ in 0..100 {
            let wait = asked.retry_after(&mut rng).expect("a wait");
            assert!(wait >= earliest, "{wait} of {earliest}");
            assert!(wait <= Span::from_ms(200), "a third of the time left");
        }
    }
}

/// Callers refused together came back together, and met the same refusal.
#[test]
fn those_refused_together_come_back_apart() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let waits = (0..400).map(|_| {
        let asked = Refusal {
            target: Some(TARGET),
            left: DEADLINE,
            ..refusal(Code::Shed)
        };
        asked.retry_after(&mut rng).expect("a wait").as_ms()
    });
    let mut tenths = [0; 12];
    waits.for_each(|wait| tenths[(wait / 100) as usize] += 1);
    assert!(tenths.iter().all(|count| *count <= 100), "{tenths:?}");
}

/// Its target has passed: the answer will be late at any time, so the caller is
/// asked for some patience, but not for more than it has.
#[test]
fn a_late_request_waits_no_longer_than_its_caller_would() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let late = Refusal {
        waited: Span::from_ms(140),
        left: Span::from_ms(460),
        ..refusal(Code::QueueTimeout)
    };
    for _ in 0..100 {
        let wait = late.retry_after(&mut rng).expect("a wait");
        assert!(wait <= Span::from_ms(154), "{wait}");
        assert!(wait >= Span::from_ms(70), "{wait}");
    }
}

/// A state that ends for all at once is told as it is, and what can never be
/// allowed has no time to come back at.
#[test]
fn states_and_wrong_requests_are_told_plainly() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let absent = refusal(Code::ConfigAbsent).retry_after(&mut rng);
    assert_eq!(absent, Code::ConfigAbsent.retry_after());
    assert_eq!(refusal(Code::KeyUnknown).retry_after(&mut rng), None);
}

/// One request of a caller that tries twice.
struct Try {
    at: Time,
    since: Time,
    again: bool,
}

/// The share of the tokens whose requests end within their target, at 1.4 times
/// the rate.
fn in_time(wait: impl Fn(&Refusal, &mut ChaCha8Rng) -> Span) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut bucket = Bucket::empty(Time::ZERO);
    let mut tries: Vec<Try> = Vec::new();
    let (mut served, mut prompt) = (0, 0);
    for ms in 0..20_000 {
        let now = Time::from_ms(ms);
        if rng.random_bool(0.14) {
            tries.push(Try {
                at: now,
                since: now,
                again: false,
            });
        }
        bucket.refill(now, Rate::per_second(100), 20_000);
        let due: Vec<_> = tries.extract_if(.., |one| one.at <= now).collect();
        for one in due {
            if bucket.take(1) {
                served += 1;
                prompt += u32::from(now.since(one.since) + SERVICE <= TARGET);
            } else if !one.again {
                let asked = Refusal {
                    code: Code::RateExceeded,
                    waited: now.since(one.since),
                    left: DEADLINE,
                    target: Some(TARGET),
                    service_time: SERVICE,
                    earliest: Span::ZERO,
                };
                tries.push(Try {
                    at: now + wait(&asked, &mut rng),
                    since: one.since,
                    again: true,
                });
            }
        }
    }
    f64::from(prompt) / f64::from(served)
}

/// A team asks for 1.4 times its rate. All its tokens were used, but those who
/// had been sent away for a second were served too late: a fifth of the tokens
/// and more bought an answer of little use.
#[test]
fn tokens_buy_answers_that_are_in_time() {
    let second = in_time(|_, _| Span::from_secs(1));
    let told = in_time(|refusal, rng| refusal.retry_after(rng).expect("a wait"));
    assert!(second <= 0.8, "{second}");
    assert!(told >= 0.98, "{told}");
}
