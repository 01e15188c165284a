// SPDX-License-Identifier: BSD-2-Clause
#include <decision/waiting_model.h>

#include <algorithm>

namespace postpaddle::test {

namespace {

using namespace std::chrono_literals;

constexpr auto step = 5ms;
constexpr double step_seconds = 0.005;
constexpr double tokens = 4'000;
constexpr auto time_limit = 14s;
/// Time from the start to the first event.
constexpr auto expected_start = 300ms;

std::chrono::milliseconds to_ms(base::duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace

waiting_model::waiting_model(waiting_model_options options)
    : options(std::move(options)), random(this->options.seed), hosts(this->options.hosts),
      outcomes(this->options.kinds.size()) {}

decision::local_waiter waiting_model::local_waiter_of(const request& one) const {
    const request_kind& kind = this->options.kinds[one.kind];
    return decision::make_local_waiter(
        {.age = this->now - one.first_try,
         .waited = this->now - one.arrived,
         .in_time = decision::max_wait_on_time(kind.latency_target, expected_start),
         .latency_target = kind.latency_target,
         .max_wait = decision::max_slot_wait(kind.latency_target, time_limit),
         .memory_tokens = tokens,
         .rank = kind.rank,
         .share_key = kind.share_key});
}

waiting_model::report waiting_model::report_of(const host& own) const {
    report sent = {.at = this->now, .running = static_cast<int>(own.running.size())};
    for (const request& one : own.waiting)
        sent.waiters.push_back(decision::to_waiter(this->local_waiter_of(one)));
    for (const request& one : own.running)
        sent.shares[this->options.kinds[one.kind].share_key] += tokens;
    return sent;
}

void waiting_model::arrive() {
    const auto pick_host = [this]() -> host& { return this->hosts[this->random() % this->hosts.size()]; };
    for (std::size_t kind = 0; this->is_arriving && kind < this->options.kinds.size(); ++kind) {
        const request_kind& rate = this->options.kinds[kind];
        const bool is_peak = this->now >= rate.peak_from && this->now < rate.peak_to;
        std::poisson_distribution<int> arrivals(rate.per_second * step_seconds * (is_peak ? rate.peak : 1));
        for (int count = arrivals(this->random); count > 0; --count) {
            pick_host().waiting.push_back({.kind = kind, .first_try = this->now, .arrived = this->now});
            ++this->outcomes[kind].callers;
        }
    }
    while (!this->returning.empty() && this->returning.begin()->first <= this->now) {
        request back = this->returning.begin()->second;
        this->returning.erase(this->returning.begin());
        back.arrived = this->now;
        pick_host().waiting.push_back(back);
    }
}

void waiting_model::decide(host& own) {
    auto [at, waiters, in_use, running] = this->report_of(own);
    for (const auto& [number, other] : own.others) {
        if (this->now - other.at > 3s)
            continue;
        running += other.running;
        for (decision::waiter one : other.waiters) {
            one.waited += this->now - other.at;
            waiters.push_back(one);
        }
        for (const auto& [key, amount] : other.shares)
            in_use[key] += amount;
    }
    decision::share_amounts waiting;
    for (const decision::waiter& one : waiters)
        waiting[one.share_key] += one.memory_tokens;
    decision::wait_order order = {.by_rank = this->options.by_rank, .by_share = this->options.by_share};
    order.shares = decision::make_fair_shares(std::move(in_use), waiting, tokens * this->options.slots);
    const decision::wait_queue queue(waiters, std::move(order));
    const double free = std::max(0, this->options.slots - running);
    std::vector<request> remaining;
    for (const request& one : own.waiting)
        if (this->decide(own, one, queue, free)) {
            remaining.push_back(one);
            remaining.back().is_queued = true;
        }
    own.waiting = std::move(remaining);
}

bool waiting_model::decide(host& own, request one, const decision::wait_queue& queue, double free) {
    const request_kind& kind = this->options.kinds[one.kind];
    const decision::local_waiter own_waiter = this->local_waiter_of(one);
    const auto ahead = queue.count_ahead(own_waiter);
    const bool is_first = one.first_try == one.arrived;
    const decision::admission_facts facts = {
        .has_room = free > static_cast<double>(ahead),
        .free_slots = free,
        .total_slots = static_cast<double>(this->options.slots),
        .waiting_ahead = static_cast<int>(ahead),
        .overtaken_ahead = static_cast<int>(queue.count_overtaken_ahead(own_waiter)),
        .hold = this->options.hold,
        .in_time = decision::max_wait_on_time(kind.latency_target, expected_start),
        .will_retry = is_first,
        .is_queued = one.is_queued,
        .waited = this->now - one.arrived,
        .max_wait = decision::max_slot_wait(kind.latency_target, time_limit),
        .is_ordered = true};
    switch (decision::admit_to_engines(facts)) {
    case decision::admission::wait:
        return true;
    case decision::admission::start: {
        std::size_t running = 0;
        for (const host& other : this->hosts)
            running += other.running.size();
        // An engine refuses what its hosts did not know to be too much.
        if (running >= static_cast<std::size_t>(this->options.slots))
            return true;
        std::uniform_real_distribution<double> factor(0.7, 1.3);
        const auto hold =
            to_ms(base::from_seconds(base::to_seconds(this->options.hold) * factor(this->random)));
        one.ends = this->now + hold;
        own.running.push_back(one);
        ++this->outcomes[one.kind].served;
        return false;
    }
    case decision::admission::refuse: {
        const auto limit = (time_limit - (this->now - one.first_try)) / 3;
        const auto delay = std::min<base::duration>(decision::slot_retry_delay(facts, this->random), limit);
        if (is_first)
            this->returning.emplace(this->now + (kind.returns_early ? 50ms : to_ms(delay)), one);
        return false;
    }
    }
    return false;
}

void waiting_model::send_reports() {
    std::bernoulli_distribution is_lost(this->options.report_loss);
    for (int sender = 0; sender < this->options.hosts; ++sender) {
        const report sent = this->report_of(this->hosts[sender]);
        for (int receiver = 0; receiver < this->options.hosts; ++receiver)
            if (receiver != sender && !is_lost(this->random) && !this->options.is_deaf(receiver, this->now))
                this->hosts[receiver].others[sender] = sent;
    }
}

std::vector<kind_outcome> waiting_model::run(std::chrono::milliseconds duration) {
    const auto is_busy = [this] {
        return !this->returning.empty() ||
               std::ranges::any_of(this->hosts, [](const host& one) { return !one.waiting.empty(); });
    };
    for (; this->now < duration || is_busy(); this->now += step) {
        this->is_arriving = this->now < duration;
        this->arrive();
        for (host& own : this->hosts)
            std::erase_if(own.running, [this](const request& one) { return one.ends <= this->now; });
        for (host& own : this->hosts)
            this->decide(own);
        if (this->is_arriving)
            for (const host& own : this->hosts)
                for (const request& one : own.running)
                    this->outcomes[one.kind].slot_seconds += step_seconds;
        this->send_reports();
    }
    return this->outcomes;
}

} // namespace postpaddle::test
