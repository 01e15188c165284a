// SPDX-License-Identifier: BSD-2-Clause
// Sends the requests of a load plan to entry hosts or engines and prints a report as one JSON object.

#include <load_driver/caller.h>
#include <load_driver/load_plan.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>

DEFINE_string(plan, "", "JSON file with the plan");

namespace {

using namespace postpaddle;
using nlohmann::json;

/// Metrics of the requests of one organisation, or of all.
struct load_metrics {
    int offered = 0;
    int whole = 0;
    int good = 0;
    int wrong = 0;
    int refused = 0;
    int failed = 0;
    int unknown = 0;
    int cancelled = 0;
    std::uint64_t tokens = 0;
    std::vector<double> first_token_ms;
    std::vector<double> per_token_ms;
};

double quantile(std::vector<double>& values, double fraction) {
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(position));
    return values[position];
}

void add_result(load_metrics& total, const stand_in::request_result& result,
                const stand_in::load_plan& plan) {
    ++total.offered;
    total.tokens += static_cast<std::uint64_t>(result.tokens);
    if (result.first_token_ms >= 0)
        total.first_token_ms.push_back(result.first_token_ms);
    if (result.per_token_ms >= 0)
        total.per_token_ms.push_back(result.per_token_ms);
    if (result.is_cancelled) {
        ++total.cancelled;
        return;
    }
    if (result.is_complete) {
        ++total.whole;
        if (result.first_token_ms <= plan.first_token_target_ms &&
            result.per_token_ms <= plan.per_token_target_ms)
            ++total.good;
        return;
    }
    if (result.is_incorrect)
        ++total.wrong;
    else if (result.outcome == "not-run")
        ++total.refused;
    else if (result.outcome == "failed")
        ++total.failed;
    else
        ++total.unknown;
}

json to_json(load_metrics& total) {
    return {{"offered", total.offered},
            {"whole", total.whole},
            {"good", total.good},
            {"wrong", total.wrong},
            {"refused", total.refused},
            {"failed", total.failed},
            {"unknown", total.unknown},
            {"cancelled", total.cancelled},
            {"tokens", total.tokens},
            {"ttft_p50_ms", quantile(total.first_token_ms, 0.5)},
            {"ttft_p95_ms", quantile(total.first_token_ms, 0.95)},
            {"ttft_p99_ms", quantile(total.first_token_ms, 0.99)},
            {"itl_p50_ms", quantile(total.per_token_ms, 0.5)},
            {"itl_p95_ms", quantile(total.per_token_ms, 0.95)},
            {"itl_p99_ms", quantile(total.per_token_ms, 0.99)}};
}

json run(const stand_in::load_plan& plan) {
    wire::asio::io_context context{1};
    wire::connection_pool pool(context, wire::response_bounds{});
    std::map<std::string, load_metrics> by_organisation;
    load_metrics all;
    const auto requests = stand_in::make_requests(plan);
    std::size_t remaining = requests.size();
    const auto start = base::boot_clock::now();
    for (const stand_in::planned_request& request : requests) {
        auto timer = std::make_shared<wire::boot_timer>(
            context, start + std::chrono::microseconds(static_cast<std::int64_t>(request.at * 1e6)));
        timer->async_wait([&, timer](const wire::error_code& /*error*/) {
            wire::spawn_coroutine(context, [&](wire::yield_context yield) {
                const auto result = stand_in::send_request(pool, context, plan, request, yield);
                if (--remaining == 0)
                    context.stop();
                if (request.at < plan.warm_up_seconds)
                    return;
                add_result(by_organisation[result.organisation], result, plan);
                add_result(all, result, plan);
            });
        });
    }
    context.run();
    json organisations = json::object();
    for (auto& [name, total] : by_organisation)
        organisations[name] = to_json(total);
    json report = to_json(all);
    report["organisations"] = organisations;
    report["counted_seconds"] = plan.seconds - plan.warm_up_seconds;
    return report;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::ifstream file(FLAGS_plan);
    const json plan = json::parse(file, nullptr, false);
    if (!plan.is_object()) {
        std::cerr << "stand_in_load_driver: --plan must name a JSON file\n";
        return 2;
    }
    std::cout << run(stand_in::parse_plan(plan)) << std::endl;
    return 0;
}
