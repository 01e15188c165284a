// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>

namespace postpaddle::service {

namespace {

const char* describe(host::limit_kind kind) {
    switch (kind) {
    case host::limit_kind::requests:
        return "requests a second";
    case host::limit_kind::concurrency:
        return "requests at once";
    case host::limit_kind::prompt_tokens:
        return "prompt tokens a second";
    }
    return "";
}

} // namespace

filter_result check_limits(request_context& context, wire::yield_context /*yield*/) {
    const int prompt_tokens = context.kind == request_kind::completion ? context.facts.prompt_tokens : 0;
    const int limit = context.policy->limits.max_prompt_tokens;
    if (prompt_tokens > limit)
        return tl::make_unexpected(problem_details{413,
                                                   "prompt-too-long",
                                                   "The prompt is longer than the organisation's limit",
                                                   "About " + std::to_string(prompt_tokens) +
                                                       " tokens, allowed are " + std::to_string(limit) + ".",
                                                   run_outcome::not_run,
                                                   {},
                                                   {}});
    const auto refusal = context.services->limits->admit_request(*context.policy, prompt_tokens,
                                                                 context.services->clock->now());
    if (refusal) {
        ++context.services->process_metrics->counters.over_limit;
        return tl::make_unexpected(
            problem_details{429,
                            "over-limit",
                            "The organisation is over a limit",
                            std::string("Limit reached: ") + describe(refusal->kind) + ".",
                            run_outcome::not_run,
                            std::max<base::duration>(refusal->retry_after, std::chrono::milliseconds(1)),
                            {}});
    }
    context.is_counted_in_limits = true;
    return {};
}

} // namespace postpaddle::service
