// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/admission.h>
#include <decision/wait_queue.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace postpaddle::test {

/// Requests that compete for slots: one organisation's on one route.
struct request_kind {
    std::uint32_t share_key = 0;
    int rank = 0;
    std::chrono::milliseconds latency_target{1'000};
    double per_second = 0;
    double peak = 1; ///< Factor of the rate between `peak_from` and `peak_to`.
    std::chrono::milliseconds peak_from{}, peak_to{};
    bool returns_early = false; ///< Refused callers ignore `Retry-After` and return after 50 ms.
};

struct waiting_model_options {
    unsigned seed = 0;
    int hosts = 4;
    int slots = 60;
    std::chrono::milliseconds hold{1'000}; ///< Mean time in a slot.
    std::vector<request_kind> kinds{};
    bool by_rank = true;
    bool by_share = true;
    double report_loss = 0.1;
    /// Whether a host receives no reports at that time.
    std::function<bool(int host, std::chrono::milliseconds)> is_deaf = [](int, auto) { return false; };
};

/// What became of the callers of a kind; each of them is counted once.
struct kind_outcome {
    int callers = 0;
    int served = 0;
    double slot_seconds = 0; ///< Time in slots, while callers arrive.

    [[nodiscard]] double served_fraction() const { return static_cast<double>(this->served) / this->callers; }
};

/// Hosts that decide on their requests with `wait_queue` and `admit_to_engines`, by their own state and the
/// latest reports of the others, which arrive one step late or not at all.
class waiting_model {
public:
    explicit waiting_model(waiting_model_options options);

    /// Runs until the callers of that time have all been served or refused. Outcomes by kind.
    std::vector<kind_outcome> run(std::chrono::milliseconds duration);

private:
    struct request {
        std::size_t kind = 0;
        std::chrono::milliseconds first_try{}, arrived{}, ends{};
        bool is_queued = false;
    };
    struct report {
        std::chrono::milliseconds at{-1};
        std::vector<decision::waiter> waiters{};
        decision::share_amounts shares{};
        int running = 0;
    };
    struct host {
        std::vector<request> waiting, running;
        std::map<int, report> others;
    };

    [[nodiscard]] decision::local_waiter local_waiter_of(const request& one) const;
    [[nodiscard]] report report_of(const host& own) const;
    void arrive();
    void decide(host& own);
    /// Returns whether the request remains on the host.
    bool decide(host& own, request one, const decision::wait_queue& queue, double free);
    void send_reports();

    waiting_model_options options;
    std::mt19937_64 random;
    std::chrono::milliseconds now{};
    std::vector<host> hosts;
    std::multimap<std::chrono::milliseconds, request> returning;
    std::vector<kind_outcome> outcomes;
    bool is_arriving = true;
};

} // namespace postpaddle::test
