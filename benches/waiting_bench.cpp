// SPDX-License-Identifier: BSD-2-Clause
#include <benches/bench_support.h>

#include <decision/instance_choice.h>
#include <decision/wait_queue.h>

#include <chrono>
#include <random>

namespace postpaddle::bench {

namespace {

using std::chrono::steady_clock;

const base::time_point now{std::chrono::hours(1)};
const settings::engine_capacity capacity = {.slots = 16, .kv_tokens = 26'000, .tokens_per_event = 11};
const decision::prompt_size size = {.prompt_tokens = 3'200, .output_tokens = 800};

/// Engines without memory for another request; two thirds of them are decode engines.
decision::instance_table make_full_engines(int count) {
    decision::instance_table table;
    for (int number = 0; number < count; ++number) {
        const base::upstream_id id{"engine-" + std::to_string(number)};
        decision::instance& engine = table.by_id[id];
        engine.entry.id = id;
        engine.entry.service = "engines";
        engine.entry.availability_zone = {"zone-" + std::to_string(number % 3)};
        engine.entry.stage =
            number % 3 == 0 ? settings::engine_stage::prefill : settings::engine_stage::decode;
        engine.others = {.requests = 6, .memory_tokens = 25'000};
    }
    return table;
}

std::vector<decision::waiter> make_waiters(int count) {
    std::vector<decision::waiter> waiters;
    waiters.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        waiters.push_back({std::chrono::milliseconds(number), 4'000});
    return waiters;
}

/// Evaluates the engines for one waiting request.
void evaluate_engines(const decision::instance_table& table, decision::choice_context context,
                      std::span<const decision::waiter> ahead, std::mt19937_64& random) {
    (void)decision::choose_engines(table, context, capacity, size, random);
    (void)decision::count_decode_slots(table, context, capacity, size);
    context.reserved = decision::reserve_memory(table, context, capacity, ahead);
    (void)decision::choose_engines(table, context, capacity, size, random);
}

/// Microseconds that one host spends on a change of free slots when it wakes all waiting requests, or only
/// those that may be at the head of the queue.
double micros_per_change(int waiting, int engines, int rounds, bool wakes_all) {
    const decision::instance_table table = make_full_engines(engines);
    const std::vector<decision::waiter> waiters = make_waiters(waiting);
    const decision::choice_context context = {
        .service = "engines", .own_zone = {"zone-0"}, .excluded = {}, .now = now};
    std::mt19937_64 random(1);
    const auto begin = steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        if (wakes_all) {
            for (int number = 0; number < waiting; ++number)
                evaluate_engines(table, context, waiters, random);
            continue;
        }
        const decision::wait_queue queue(waiters);
        std::vector<decision::local_waiter> local_waiters;
        local_waiters.reserve(waiters.size());
        for (const decision::waiter& waiter : waiters)
            local_waiters.push_back({waiter.waited, std::chrono::milliseconds(500)});
        const double free = decision::count_decode_slots(table, context, capacity, size).free_now;
        for (const std::size_t index : decision::head_of_queue(queue, local_waiters, free, 8))
            evaluate_engines(table, context, std::span(waiters).first(std::min<std::size_t>(index, 2)),
                             random);
    }
    return std::chrono::duration<double, std::micro>(steady_clock::now() - begin).count() / rounds;
}

} // namespace

int run_waiting(const bench_options& options) {
    result_table table(options, {"waiting", "engines", "micros_all_look", "micros_next_in_line"});
    for (const int waiting : {10, 100, 1'000})
        for (const int engines : {20, 140, 400}) {
            const int rounds = std::max(1, (options.is_quick ? 1'000 : 10'000) / waiting / engines);
            table.add_row({{"bench", "waiting"},
                           {"waiting", waiting},
                           {"engines", engines},
                           {"micros_all_look", micros_per_change(waiting, engines, rounds, true)},
                           {"micros_next_in_line", micros_per_change(waiting, engines, 100, false)}});
        }
    return EXIT_SUCCESS;
}

} // namespace postpaddle::bench
