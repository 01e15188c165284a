// SPDX-License-Identifier: BSD-2-Clause
#include <host/clock_bounds.h>
#include <host/store_leadership.h>
#include <host/store_reader.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

const base::time_point start{1h};
constexpr milliseconds bound = 4'000ms;
constexpr milliseconds step = 10ms;
constexpr milliseconds answer_time = 10ms;
constexpr milliseconds update_time = 10ms;
constexpr milliseconds run_length = 40'000ms;

struct time_span {
    milliseconds begin{};
    milliseconds end{};

    [[nodiscard]] bool meets(milliseconds from, milliseconds until) const {
        return this->begin < until && from < this->end;
    }
};

/// A host hangs, is killed and restarted, or is rejected by the store.
enum class fault { frozen, killed, rejected };

struct host_fault {
    fault kind = fault::frozen;
    time_span when;
};

/// How followers get a record that a leader announced.
enum class delivery {
    in_update,   ///< As registry changes carried in the update.
    by_own_read, ///< As settings, read by the follower itself unless another host passes them on first.
};

struct open_read {
    host::store_read order;
    milliseconds began{};
    milliseconds ends{};
    bool is_answered = false;
    std::size_t records = 0; ///< In the store when it answered.
};

struct leader_update {
    std::size_t leader = 0;
    std::size_t seen = 0;
    std::size_t carried_since = 0; ///< The update carries the records after this number.
    milliseconds sent{};
    milliseconds age{}; ///< Of the leader's knowledge at the time of sending.
    milliseconds arrives{};
};

/// From `from` on, a host processes updates late by `delay`, in order.
struct late_updates {
    milliseconds from{};
    milliseconds delay{};
};

struct fake_host {
    host::store_reader reader{.bound = bound};
    host::store_leadership leadership;
    host::clock_bounds clocks;
    std::vector<open_read> open;
    std::vector<host_fault> faults;
    bool has_read = false;
    std::size_t seen = 0;
    std::vector<milliseconds> seen_at; ///< By record.
    base::time_point known_until{};
    milliseconds sent_update_at{-1h};
    bool is_reading = false;
};

struct cell_plan {
    std::size_t hosts = 20;
    delivery how = delivery::in_update;
    double update_loss = 0;
    late_updates late{.from = run_length};
    std::vector<milliseconds> records;
    std::vector<time_span> outages;              ///< Of the store, for all hosts.
    std::vector<std::vector<host_fault>> faults; ///< By host.
};

/// Simulates the hosts of a cell and the store in small time steps.
class fake_cell {
public:
    fake_cell(const cell_plan& plan, std::uint64_t seed) : plan(&plan), random(seed), hosts(plan.hosts) {
        for (std::size_t number = 0; number < plan.hosts; ++number) {
            this->names.push_back({"host-" + std::to_string(number)});
            this->hosts[number].faults = plan.faults.at(number);
        }
    }

    void run() {
        for (milliseconds now = 0ms; now < run_length; now += step)
            for (std::size_t number = 0; number < this->hosts.size(); ++number)
                this->run_host(number, now);
    }

    std::vector<fake_host> hosts_after() { return this->hosts; }
    [[nodiscard]] int reads() const { return this->reads_begun; }

private:
    [[nodiscard]] std::size_t records_at(milliseconds now) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->plan->records, [now](milliseconds at) { return at <= now; }));
    }

    static const host_fault* fault_of(const fake_host& own, fault kind, milliseconds from,
                                      milliseconds until) {
        const auto found = std::ranges::find_if(own.faults, [&](const host_fault& one) {
            return one.kind == kind && one.when.meets(from, until);
        });
        return found == own.faults.end() ? nullptr : &*found;
    }

    void see(fake_host& own, std::size_t records, milliseconds now) {
        own.seen = std::max(own.seen, records);
        while (own.seen_at.size() < own.seen)
            own.seen_at.push_back(now);
    }

    void run_host(std::size_t number, milliseconds now) {
        fake_host& own = this->hosts[number];
        if (fault_of(own, fault::killed, now, now + 1ms) != nullptr) {
            const auto seen_at = own.seen_at;
            const auto faults = own.faults;
            own = {};
            own.faults = faults;
            own.seen_at = seen_at;
            return;
        }
        if (fault_of(own, fault::frozen, now, now + 1ms) != nullptr)
            return;
        this->receive_updates(number, now);
        this->end_reads(number, now);
        const host::leadership_facts facts{bound, host::position_in(this->names, this->names[number]),
                                           start + now};
        const bool must = !own.has_read || host::must_read(own.leadership, facts);
        if (!must)
            own.reader.is_stale = true;
        own.is_reading = must;
        own.reader.wait_fraction = host::wait_fraction(facts.position);
        own.reader.probe_interval = host::probe_interval(facts.position, bound);
        if (must)
            if (const auto order = host::next_read(own.reader, start + now))
                this->begin_read(own, *order, now);
        const auto interval =
            std::chrono::duration_cast<milliseconds>(bound * host::update_interval_fraction);
        if (own.is_reading && own.has_read && now - own.sent_update_at >= interval)
            this->send_update(number, now);
    }

    void begin_read(fake_host& own, const host::store_read& order, milliseconds now) {
        ++this->reads_begun;
        open_read read{order, now, {}, false, 0};
        milliseconds answered = now + order.wait;
        for (const milliseconds record : this->plan->records)
            if (record >= now && this->records_at(record) > own.seen)
                answered = std::min(answered, record);
        if (this->records_at(now) > own.seen)
            answered = now;
        const bool is_rejected = fault_of(own, fault::rejected, now, answered + 1ms) != nullptr;
        const bool is_silent = std::ranges::any_of(this->plan->outages, [&](const time_span& span) {
            return span.meets(now, answered + answer_time);
        });
        read.is_answered = !is_rejected && !is_silent;
        read.records = this->records_at(answered);
        read.ends = is_silent ? now + order.wait + order.limit : answered + answer_time;
        own.open.push_back(read);
    }

    void end_reads(std::size_t number, milliseconds now) {
        fake_host& own = this->hosts[number];
        std::vector<open_read> ended;
        std::erase_if(own.open, [&](const open_read& read) {
            if (read.ends <= now)
                ended.push_back(read);
            return read.ends <= now;
        });
        for (const open_read& read : ended) {
            if (!read.is_answered) {
                (void)host::did_fail(own.reader, read.order, host::read_failure::no_answer,
                                     start + read.began);
                continue;
            }
            (void)host::did_answer(own.reader, read.order, start + read.began);
            const bool is_old = read.records <= own.seen && now - read.began >= read.order.wait;
            own.known_until =
                std::max(own.known_until, start + read.began + (is_old ? read.order.wait : 0ms));
            host::record_known(own.leadership, own.known_until);
            own.has_read = true;
            own.leadership.behind_since.reset();
            this->see(own, read.records, now);
            this->send_update(number, now);
        }
    }

    void send_update(std::size_t number, milliseconds now) {
        fake_host& own = this->hosts[number];
        own.sent_update_at = now;
        const auto carried_for =
            3 * std::chrono::duration_cast<milliseconds>(bound * host::update_interval_fraction);
        std::size_t since = own.seen;
        while (since > 0 && since <= own.seen_at.size() && now - own.seen_at[since - 1] <= carried_for)
            --since;
        std::uniform_real_distribution<double> draw(0, 1);
        for (std::size_t other = 0; other < this->hosts.size(); ++other)
            if (other != number && draw(this->random) >= this->plan->update_loss)
                this->inbox[other].push_back(
                    {number, own.seen, since, now,
                     std::chrono::duration_cast<milliseconds>(start + now - own.known_until),
                     now + update_time + (now >= this->plan->late.from ? this->plan->late.delay : 0ms)});
    }

    void receive_updates(std::size_t number, milliseconds now) {
        fake_host& own = this->hosts[number];
        auto& waiting = this->inbox[number];
        for (const leader_update& update : waiting) {
            if (update.arrives > now)
                continue;
            // Each sender's monotonic clock has a different origin.
            const milliseconds clock_began = 7'919ms * static_cast<int>(update.leader);
            const host::send_stamp stamp{1, update.sent - clock_began};
            // The leader answered a question when it sent its first update.
            if (!own.clocks.senders.contains(this->names[update.leader]))
                host::record_answer(own.clocks, this->names[update.leader], stamp,
                                    start + update.sent - update_time, start + now);
            const auto sent = host::earliest_send(own.clocks, this->names[update.leader], stamp, start + now);
            if (!own.has_read)
                continue;
            const bool is_carried =
                this->plan->how == delivery::in_update && own.seen >= update.carried_since;
            if (update.seen > own.seen && !is_carried) {
                if (!own.leadership.behind_since)
                    own.leadership.behind_since = start + now;
                continue;
            }
            this->see(own, update.seen, now);
            own.leadership.behind_since.reset();
            host::record_known(own.leadership, *sent - update.age);
        }
        std::erase_if(waiting, [now](const leader_update& update) { return update.arrives <= now; });
    }

    const cell_plan* plan;
    std::mt19937_64 random;
    std::vector<fake_host> hosts;
    std::vector<base::host_id> names;
    std::map<std::size_t, std::vector<leader_update>> inbox;
    int reads_begun = 0;
};

cell_plan calm_cell(std::size_t hosts, delivery how) {
    cell_plan plan{.hosts = hosts, .how = how, .records = {}, .outages = {}, .faults = {}};
    plan.faults.resize(hosts);
    for (milliseconds at = 3'000ms; at < run_length - bound; at += 2'700ms)
        plan.records.push_back(at);
    return plan;
}

/// Whether neither the host nor the store had a fault around a record.
bool is_connected(const cell_plan& plan, const fake_host& own, milliseconds record) {
    const milliseconds from = record - bound - 1'000ms;
    const milliseconds until = record + bound;
    return std::ranges::none_of(own.faults,
                                [&](const host_fault& one) { return one.when.meets(from, until); }) &&
           std::ranges::none_of(plan.outages, [&](const time_span& span) { return span.meets(from, until); });
}

void check_bound(const cell_plan& plan, fake_cell& cell) {
    cell.run();
    for (const fake_host& own : cell.hosts_after())
        for (std::size_t number = 0; number < plan.records.size(); ++number) {
            if (!is_connected(plan, own, plan.records[number]))
                continue;
            INFO("record " << number << " at " << plan.records[number].count());
            REQUIRE(own.seen_at.size() > number);
            REQUIRE(own.seen_at[number] - plan.records[number] <= bound);
        }
}

} // namespace

TEST_CASE("without faults, two leaders read and all hosts know each record within the bound") {
    for (const auto how : {delivery::in_update, delivery::by_own_read}) {
        const cell_plan plan = calm_cell(40, how);
        fake_cell cell(plan, 1);
        check_bound(plan, cell);
        // Without leaders, 40 hosts would start more than 600 reads; two leaders start about 150, plus a
        // few by each host at its start.
        CHECK(cell.reads() < (how == delivery::in_update ? 300 : 300 + 40 * 14));
    }
}

TEST_CASE("all hosts of a small cell read for themselves") {
    const host::store_leadership leadership{.known_until = start, .behind_since = {}};
    CHECK(host::must_read(leadership, {bound, host::position_in({{"a"}, {"b"}, {"c"}}, {"c"}), start}));
}

TEST_CASE("while the other hosts are unknown, the initial read is relied on until it times out") {
    const host::store_leadership leadership{.known_until = start, .behind_since = {}};
    CHECK_FALSE(host::must_read(leadership, {bound, host::position_in({}, {"a"}), start + 1'000ms}));
    CHECK(host::must_read(leadership, {bound, host::position_in({}, {"a"}), start + 2'000ms}));
}

TEST_CASE("while the store is unavailable, leaders probe it often and followers rarely") {
    std::vector<base::host_id> cell;
    cell.reserve(40);
    for (int number = 0; number < 40; ++number)
        cell.push_back({"host-" + std::to_string(number)});
    const auto often = std::ranges::count_if(cell, [&](const base::host_id& name) {
        return host::probe_interval(host::position_in(cell, name), bound) < 1'000ms;
    });
    CHECK(often == host::leaders_per_cell);
}

TEST_CASE(
    "leaders of a large cell always read, followers when their knowledge is old or a record is missing") {
    std::vector<base::host_id> cell;
    cell.reserve(20);
    for (int number = 0; number < 20; ++number)
        cell.push_back({"host-" + std::to_string(number)});
    std::vector<base::host_id> followers;
    std::vector<base::host_id> readers;
    for (const base::host_id& name : cell) {
        const host::store_leadership leadership{.known_until = start, .behind_since = {}};
        (host::must_read(leadership, {bound, host::position_in(cell, name), start}) ? readers : followers)
            .push_back(name);
    }
    REQUIRE(readers.size() == host::leaders_per_cell);
    host::store_leadership leadership{.known_until = start, .behind_since = {}};
    CHECK_FALSE(
        host::must_read(leadership, {bound, host::position_in(cell, followers.front()), start + 1'900ms}));
    CHECK(host::must_read(leadership, {bound, host::position_in(cell, followers.front()), start + 2'500ms}));
    host::record_known(leadership, start + 2'400ms);
    CHECK_FALSE(
        host::must_read(leadership, {bound, host::position_in(cell, followers.front()), start + 2'600ms}));
    leadership.behind_since = start + 2'600ms;
    CHECK(host::must_read(leadership, {bound, host::position_in(cell, followers.front()), start + 3'000ms}));
}

TEST_CASE("each record is known within the bound while leaders hang, die and are rejected") {
    std::mt19937_64 random(11);
    const auto draw = [&random](int min, int max) {
        return std::uniform_int_distribution<int>(min, max)(random);
    };
    for (int round = 0; round < 30; ++round) {
        cell_plan plan = calm_cell(static_cast<std::size_t>(draw(17, 30)),
                                   round % 2 == 0 ? delivery::in_update : delivery::by_own_read);
        plan.update_loss = round % 3 == 0 ? 0.1 : 0.0;
        for (auto& faults : plan.faults)
            for (int count = draw(0, 2); count > 0; --count) {
                const milliseconds begin(draw(0, 35'000));
                faults.push_back(
                    {static_cast<fault>(draw(0, 2)), {begin, begin + milliseconds(draw(200, 9'000))}});
            }
        if (round % 4 == 0) {
            const milliseconds begin(draw(0, 35'000));
            plan.outages.push_back({begin, begin + milliseconds(draw(200, 6'000))});
        }
        INFO("round " << round);
        fake_cell cell(plan, static_cast<std::uint64_t>(round));
        check_bound(plan, cell);
    }
}

TEST_CASE("hosts that process updates late know each record within the bound") {
    for (const milliseconds delay : {500ms, 1'500ms, 3'000ms, 9'000ms}) {
        cell_plan plan = calm_cell(40, delivery::in_update);
        plan.late = {.from = 8'000ms, .delay = delay};
        INFO("delay " << delay.count());
        fake_cell cell(plan, 1);
        check_bound(plan, cell);
    }
}
