// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <benches/bench_support.h>

#include <string>
#include <vector>

namespace postpaddle::bench {

/// Model servers, organisations and mix of requests of one of the two users.
struct deployment_plan {
    std::string name;
    int prefills = 0;
    int decodes = 0;
    int places = 0;
    double prompt_rate = 0;     ///< Prompt tokens a second of one prefill engine.
    double prompt_overhead = 0; ///< Seconds added to each prefill.
    double step_seconds = 0;    ///< Between tokens with one request.
    double step_each_seconds = 0;
    double link_rate = 0;
    double waste_weight = 0.5;
    double first_token_target_ms = 570;
    double per_token_target_ms = 34;
    json classes; ///< Mix for the load driver.
};

/// Mauritius: 9 model servers. Quebec: 18, longer prompts.
[[nodiscard]] deployment_plan plan_for(const bench_options& options);

/// Requests a second that the engines can do at the most: the scarcer of prefill and decode at the mix's
/// mean prompt and answer, every engine busy without a gap. See docs/design/0002-admission.md.
[[nodiscard]] double bound_of(const deployment_plan& plan);

/// Cluster with the deployment's engines and six hosts.
[[nodiscard]] stand_in::cluster_options cluster_of(const bench_options& options, const deployment_plan& plan,
                                                   const std::string& policy, const std::string& folder);

/// Operators' document of the deployment.
[[nodiscard]] std::string document_of(const deployment_plan& plan);

/// Load plan at a part of the bound.
[[nodiscard]] json load_of(const bench_options& options, const deployment_plan& plan,
                           const stand_in::cluster& cluster, double load);

/// Sum of a counter over all engines.
[[nodiscard]] std::int64_t total_of(const stand_in::cluster& cluster, const std::string& counter);

} // namespace postpaddle::bench
