// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>

#include <host/claim_key.h>

#include <base/hashing.h>

#include <boost/algorithm/string/predicate.hpp>

namespace postpaddle::service {

namespace {

/// Timeout for the log to confirm a claim.
constexpr auto claim_timeout = std::chrono::milliseconds(1500);
constexpr std::size_t max_key_bytes = 128;
/// How far in the future the time of a key may be, to tolerate the clock skew of callers.
constexpr std::int64_t max_clock_skew_milliseconds = 300'000;

problem_details bad_key(std::string detail) {
    return {400,
            "bad-idempotency-key",
            "The Idempotency-Key can't be used",
            std::move(detail),
            run_outcome::not_run,
            {},
            {}};
}

bool is_marked_not_repeatable(const request_context& context) {
    const auto field = wire::find_header(context.request.headers, "Postpaddle-Repeatable");
    if (boost::algorithm::iequals(field, "no"))
        return true;
    return context.kind == request_kind::plain &&
           context.route->repeats == settings::repeatability::not_repeatable;
}

host::claim make_claim(const request_context& context) {
    host::claim claim;
    claim.key = base::hash64(context.idempotency_key, base::hash64(context.policy->id.value));
    claim.body = base::hash64(context.request.body,
                              base::hash64(context.request.method + " " + context.request.target));
    claim.request = context.id.value;
    return claim;
}

filter_result reject_duplicate(const host::claim_resolution& resolution) {
    problem_details problem{409,
                            "already-claimed",
                            "Another arrival of this Idempotency-Key came first",
                            "The outcome is that of the first arrival.",
                            run_outcome::unknown,
                            {},
                            {}};
    problem.members["first_outcome"] = host::to_text(resolution.outcome);
    problem.members["first_request_id"] = resolution.winner;
    if (resolution.outcome == host::claim_outcome::failed)
        problem.outcome = run_outcome::failed;
    return tl::make_unexpected(problem);
}

filter_result to_filter_result(const host::claim_resolution& resolution) {
    switch (resolution.verdict) {
    case host::claim_verdict::won:
        return {};
    case host::claim_verdict::taken:
        return reject_duplicate(resolution);
    case host::claim_verdict::body_mismatch:
        return tl::make_unexpected(problem_details{422,
                                                   "key-reused",
                                                   "The Idempotency-Key was used with another request",
                                                   "This arrival did not run.",
                                                   run_outcome::not_run,
                                                   {},
                                                   {}});
    case host::claim_verdict::too_old:
        return tl::make_unexpected(problem_details{409,
                                                   "key-too-old",
                                                   "The Idempotency-Key is older than what is remembered",
                                                   "It may have run before.",
                                                   run_outcome::unknown,
                                                   {},
                                                   {}});
    case host::claim_verdict::pending:
        return tl::make_unexpected(problem_details{503,
                                                   "log-unavailable",
                                                   "Not-repeatable requests can't be claimed now",
                                                   "The platform's log did not confirm the claim in time.",
                                                   run_outcome::not_run,
                                                   std::chrono::seconds(2),
                                                   {}});
    }
    return {};
}

} // namespace

filter_result check_repeatability(request_context& context, wire::yield_context yield) {
    if (!is_marked_not_repeatable(context))
        return {};
    context.runs = decision::execution_rule::at_most_once;
    context.facts.runs = decision::execution_rule::at_most_once;
    context.idempotency_key = wire::find_header(context.request.headers, "Idempotency-Key");
    // Without a key, no other arrival can be identified as the same request, so it is enough that this
    // host sends it at most once.
    if (context.idempotency_key.empty())
        return {};
    if (context.idempotency_key.size() > max_key_bytes)
        return tl::make_unexpected(bad_key("It is longer than 128 bytes."));
    std::string unquoted_key = context.idempotency_key;
    if (unquoted_key.size() > 2 && unquoted_key.front() == '"' && unquoted_key.back() == '"')
        unquoted_key = unquoted_key.substr(1, unquoted_key.size() - 2);
    const auto key_time = host::uuid7_milliseconds(unquoted_key);
    if (!key_time)
        return tl::make_unexpected(bad_key("A not-repeatable request needs a UUID of version 7 as its key, "
                                           "since a key must tell how old it is."));
    const auto wall_milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                                       context.services->clock->wall_now().time_since_epoch())
                                       .count();
    if (*key_time > wall_milliseconds + max_clock_skew_milliseconds)
        return tl::make_unexpected(bad_key("Its time lies in the future."));
    context.idempotency_key = unquoted_key;
    const host::claim claim = make_claim(context);
    ++context.services->process_metrics->counters.claims;
    const host::claim_resolution resolution = context.services->claims->try_claim(
        claim, *key_time, claim_timeout, *context.services->context, yield);
    filter_result result = to_filter_result(resolution);
    if (!result)
        ++context.services->process_metrics->counters.claims_refused;
    // A pending claim may still take effect. Record it too, so that its end is reported and it does not block
    // a later arrival.
    if (result || resolution.verdict == host::claim_verdict::pending)
        context.held_claim = claim;
    return result;
}

} // namespace postpaddle::service
