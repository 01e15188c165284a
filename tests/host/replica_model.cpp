// SPDX-License-Identifier: BSD-2-Clause
#include <host/replica_model.h>

#include <algorithm>

namespace postpaddle::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

const base::time_point origin{1h};
/// Time from a host's last look at its lease until the request is at the upstream.
constexpr milliseconds send_time = 150ms;
constexpr milliseconds send_interval = 100ms;
constexpr milliseconds record_interval = 400ms;
constexpr milliseconds min_transit = 1ms;
constexpr milliseconds max_transit = 10ms;
/// Data that waits longer than this for the link is dropped.
constexpr milliseconds max_link_queue = 200ms;
constexpr double message_bytes = 250;
constexpr double change_bytes = 80;
constexpr double slow_factor = 20;

struct message {
    enum class kind { update, query, answer };
    kind what = kind::update;
    std::size_t from = 0;
    std::size_t seen = 0;  ///< Records that the sender knows; in a query, that the asking host knows.
    std::size_t since = 0; ///< It carries the records after this number.
    milliseconds stamp{};  ///< By the sender's clock.
    microseconds asked{};  ///< In an answer: when it was asked for.
    microseconds age{};    ///< Of the sender's knowledge.
    bool is_read_failing = false;
};

struct open_read {
    host::store_read order;
    microseconds began{};
    bool is_answered = false;
    bool is_refused = false;
    std::size_t seen_before = 0;
    std::size_t records = 0;
};

struct replica {
    host::store_reader reader;
    host::store_leadership leadership;
    host::clock_bounds clocks;
    host::replica_doubt doubt;
    std::uint64_t incarnation = 1;
    bool has_read = false;
    std::size_t seen = 0;
    std::map<base::host_id, microseconds> clocks_asked;
    microseconds processor_free{};
    microseconds link_free{};
};

class model {
public:
    model(const replica_plan& plan, std::uint64_t seed) : plan(&plan), random(seed), replicas(plan.hosts) {
        for (std::size_t number = 0; number < plan.hosts; ++number) {
            this->names.push_back({std::to_string(number)});
            this->directory.by_name[this->names.back()] = {
                .address = std::to_string(number), .zone = {}, .last_seen = origin + plan.length};
            this->replicas[number].reader.bound = plan.bound;
        }
        for (std::size_t first = 0; first < plan.hosts; first += plan.cell_size) {
            const std::size_t end = std::min(plan.hosts, first + plan.cell_size);
            const std::vector<base::host_id> cell(this->names.begin() + static_cast<std::ptrdiff_t>(first),
                                                  this->names.begin() + static_cast<std::ptrdiff_t>(end));
            for (std::size_t number = first; number < end; ++number)
                this->positions.push_back(host::position_in(cell, this->names[number]));
        }
        for (milliseconds at = record_interval; at < plan.length; at += record_interval)
            if (std::ranges::none_of(
                    plan.outages, [at](const time_span& span) { return span.begin <= at && at < span.end; }))
                this->records.push_back(at);
    }

    replica_result run() {
        std::uniform_int_distribution<int> phase(0, 99);
        for (std::size_t number = 0; number < this->plan->hosts; ++number) {
            this->at(milliseconds(phase(this->random)), [this, number] { this->check(number); });
            this->at(milliseconds(phase(this->random)), [this, number] { this->update_cell(number); });
            // Requests come once the host is ready.
            this->at(2s + milliseconds(phase(this->random)), [this, number] { this->send_request(number); });
        }
        for (const fault_span& span : this->plan->faults)
            if (span.kind == host_fault::killed)
                this->at(span.end, [this, number = span.host] { this->restart(number); });
        while (!this->events.empty() && this->events.top().at < this->plan->length) {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        const double host_seconds =
            base::to_seconds(this->plan->length) * static_cast<double>(this->plan->hosts);
        this->result.bytes_per_host_second = this->bytes / host_seconds;
        return this->result;
    }

private:
    struct event {
        microseconds at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void at(microseconds when, std::function<void()> action) {
        this->events.push({when, ++this->event_count, std::move(action)});
    }

    [[nodiscard]] base::time_point time() const { return origin + this->now; }

    [[nodiscard]] bool has_fault(std::size_t number, host_fault kind) const {
        return std::ranges::any_of(this->plan->faults, [&](const fault_span& span) {
            return span.host == number && span.kind == kind && span.begin <= this->now &&
                   this->now < span.end;
        });
    }
    [[nodiscard]] bool is_stopped(std::size_t number) const {
        return has_fault(number, host_fault::killed) || has_fault(number, host_fault::frozen);
    }
    /// When a frozen host goes on.
    [[nodiscard]] microseconds thaw_of(std::size_t number) const {
        microseconds thaw = this->now;
        for (const fault_span& span : this->plan->faults)
            if (span.host == number && span.kind == host_fault::frozen && span.begin <= this->now)
                thaw = std::max<microseconds>(thaw, span.end);
        return thaw;
    }
    [[nodiscard]] bool is_store_down() const {
        return std::ranges::any_of(this->plan->outages, [this](const time_span& span) {
            return span.begin <= this->now && this->now < span.end;
        });
    }
    [[nodiscard]] std::size_t records_at(microseconds when) const {
        return static_cast<std::size_t>(std::ranges::upper_bound(this->records, when) -
                                        this->records.begin());
    }
    [[nodiscard]] bool draw(double fraction) {
        return fraction > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < fraction;
    }
    [[nodiscard]] milliseconds between(milliseconds least, milliseconds most) {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random));
    }
    /// Each host's monotonic clock has its own origin.
    [[nodiscard]] milliseconds own_stamp(std::size_t number) const {
        return std::chrono::duration_cast<milliseconds>(this->now) + 7'919ms * static_cast<int>(number);
    }

    void restart(std::size_t number) {
        replica fresh;
        fresh.reader.bound = this->plan->bound;
        fresh.incarnation = this->replicas[number].incarnation + 1;
        this->replicas[number] = fresh;
    }

    /// Followers check in a twentieth of the bound whether to read or to ask.
    void check(std::size_t number) {
        this->at(this->now + this->plan->bound / 20, [this, number] { this->check(number); });
        if (this->is_stopped(number))
            return;
        replica& own = this->replicas[number];
        const host::leadership_facts facts{this->plan->bound, this->positions[number], this->time()};
        if (own.has_read)
            own.reader.known_until = own.leadership.known_until;
        own.reader.wait_fraction = host::wait_fraction(facts.position);
        own.reader.probe_interval = host::probe_interval(facts.position, this->plan->bound);
        if (own.has_read && !host::must_read(own.leadership, facts))
            own.reader.is_stale = true;
        else if (const auto order = host::next_read(own.reader, this->time()))
            this->begin_read(number, *order);
        if (this->is_in_doubt(number))
            this->ask(number);
    }

    [[nodiscard]] bool is_in_doubt(std::size_t number) const {
        const replica& own = this->replicas[number];
        return own.leadership.behind_since ||
               this->time() - own.leadership.known_until >=
                   host::age_to_ask(this->positions[number], this->plan->bound);
    }

    void begin_read(std::size_t number, const host::store_read& order) {
        ++this->result.store_reads;
        const milliseconds answer_time = this->between(this->plan->min_answer, this->plan->max_answer);
        auto read = std::make_shared<open_read>(
            open_read{.order = order, .began = this->now, .seen_before = this->replicas[number].seen});
        const bool is_reached = !this->has_fault(number, host_fault::cut_off) &&
                                !this->has_fault(number, host_fault::turned_away) && !this->is_store_down();
        const bool is_lost = !is_reached || this->draw(this->plan->unanswered);
        read->is_refused = !is_lost && this->draw(this->plan->refused);
        const microseconds arrives = this->now + answer_time / 2;
        microseconds answered = arrives;
        if (this->records_at(arrives) <= read->seen_before) {
            answered = arrives + order.wait;
            if (read->seen_before < this->records.size())
                answered = std::min<microseconds>(answered, this->records[read->seen_before]);
        }
        read->records = this->records_at(answered);
        read->is_answered = !is_lost && !read->is_refused;
        microseconds ends = answered + answer_time / 2;
        if (is_lost || ends > this->now + order.wait + order.limit) {
            read->is_answered = false;
            ends = this->now + order.wait + order.limit;
        }
        this->at(ends, [this, number, read, incarnation = this->replicas[number].incarnation] {
            this->end_read(number, *read, incarnation);
        });
    }

    void end_read(std::size_t number, const open_read& read, std::uint64_t incarnation) {
        if (this->has_fault(number, host_fault::frozen)) {
            this->at(this->thaw_of(number),
                     [this, number, read, incarnation] { this->end_read(number, read, incarnation); });
            return;
        }
        replica& own = this->replicas[number];
        if (own.incarnation != incarnation || this->has_fault(number, host_fault::killed))
            return;
        const base::time_point began = origin + read.began;
        if (!read.is_answered) {
            const auto failure =
                read.is_refused ? host::read_failure::refusal : host::read_failure::no_answer;
            (void)host::did_fail(own.reader, read.order, failure, began);
            return;
        }
        (void)host::did_answer(own.reader, read.order, began);
        const bool has_waited = this->now - read.began >= read.order.wait;
        const bool is_empty = read.records <= read.seen_before;
        host::record_known(own.leadership, began + (is_empty && has_waited ? read.order.wait : 0ms));
        own.leadership.behind_since.reset();
        own.has_read = true;
        own.seen = std::max(own.seen, read.records);
        this->send_update(number);
    }

    void update_cell(std::size_t number) {
        this->at(this->now + this->plan->bound / 8, [this, number] { this->update_cell(number); });
        const replica& own = this->replicas[number];
        const host::leadership_facts facts{this->plan->bound, this->positions[number], this->time()};
        if (!this->is_stopped(number) && own.has_read && host::must_read(own.leadership, facts))
            this->send_update(number);
    }

    [[nodiscard]] message make_message(std::size_t number, message::kind what, std::size_t since) const {
        const replica& own = this->replicas[number];
        return {.what = what,
                .from = number,
                .seen = own.seen,
                .since = since,
                .stamp = this->own_stamp(number),
                .age = std::chrono::ceil<microseconds>(this->time() - own.leadership.known_until),
                .is_read_failing = own.reader.is_unavailable};
    }

    void send_update(std::size_t number) {
        if (!host::has_followers(this->positions[number]))
            return;
        const std::size_t seen = this->replicas[number].seen;
        // Records of the last two intervals are repeated.
        const std::size_t since = std::min(seen, this->records_at(this->now - this->plan->bound / 4));
        const std::size_t first = number / this->plan->cell_size * this->plan->cell_size;
        const std::size_t end = std::min(this->plan->hosts, first + this->plan->cell_size);
        for (std::size_t other = first; other < end; ++other)
            if (other != number && !this->has_fault(other, host_fault::unknown))
                this->deliver(other, this->make_message(number, message::kind::update, since));
    }

    void deliver(std::size_t to, const message& sent) {
        replica& sender = this->replicas[sent.from];
        const double size =
            message_bytes + change_bytes * this->plan->changes_per_record *
                                static_cast<double>(sent.seen - std::min(sent.seen, sent.since));
        this->bytes += size;
        sender.link_free =
            std::max(sender.link_free, this->now) +
            microseconds(static_cast<std::int64_t>(1e6 * size / this->plan->link_bytes_per_second));
        const bool is_cut =
            this->has_fault(sent.from, host_fault::cut_off) || this->has_fault(to, host_fault::cut_off);
        if (is_cut || sender.link_free - this->now > max_link_queue || this->draw(this->plan->loss))
            return;
        this->at(sender.link_free + this->between(min_transit, max_transit),
                 [this, to, sent] { this->arrive(to, sent); });
    }

    /// Messages wait for the processor of the host, and for it to thaw.
    void arrive(std::size_t number, const message& sent) {
        if (this->has_fault(number, host_fault::killed))
            return;
        replica& own = this->replicas[number];
        const double factor = this->has_fault(number, host_fault::slow) ? slow_factor : 1;
        const double seconds = this->plan->message_seconds * factor / this->plan->processor_share;
        own.processor_free = std::max(own.processor_free, this->thaw_of(number)) +
                             microseconds(static_cast<std::int64_t>(1e6 * seconds));
        this->at(own.processor_free, [this, number, sent] { this->process(number, sent); });
    }

    void process(std::size_t number, const message& sent) {
        if (this->has_fault(number, host_fault::killed))
            return;
        if (sent.what == message::kind::query)
            this->answer(number, sent);
        else
            this->apply(number, sent);
    }

    void answer(std::size_t number, const message& query) {
        if (!this->replicas[number].has_read)
            return;
        message answer = this->make_message(number, message::kind::answer, query.seen);
        answer.asked = query.asked;
        this->deliver(query.from, answer);
    }

    void apply(std::size_t number, const message& sent) {
        replica& own = this->replicas[number];
        const host::send_stamp stamp{this->replicas[sent.from].incarnation, sent.stamp};
        if (sent.what == message::kind::answer)
            host::record_answer(own.clocks, this->names[sent.from], stamp, origin + sent.asked, this->time());
        auto earliest = host::earliest_send(own.clocks, this->names[sent.from], stamp, this->time());
        // Without questions, hosts estimate when an update was sent.
        if (!this->plan->asks_others)
            earliest = origin + (sent.stamp - 7'919ms * static_cast<int>(sent.from));
        if (!earliest)
            this->ask_clock(number, sent.from);
        if (!own.has_read)
            return;
        if (sent.seen > own.seen && own.seen < sent.since) {
            if (!own.leadership.behind_since) {
                own.leadership.behind_since = this->time();
                this->ask(number);
            }
            return;
        }
        own.seen = std::max(own.seen, sent.seen);
        own.leadership.behind_since.reset();
        if (earliest)
            host::record_known(own.leadership, *earliest - sent.age);
        if (!this->is_in_doubt(number))
            host::end_doubt(own.doubt);
        else if (sent.what == message::kind::answer && sent.is_read_failing)
            own.doubt.unanswered[this->names[sent.from]] = this->time();
    }

    void ask(std::size_t number) {
        replica& own = this->replicas[number];
        if (!this->plan->asks_others ||
            this->time() - own.doubt.asked_at < host::ask_interval(this->plan->bound) / 2)
            return;
        own.doubt.asked_at = this->time();
        for (const std::string& address :
             host::hosts_to_ask(own.doubt, this->directory, this->time(), this->random)) {
            own.doubt.asked.insert(address);
            this->send_query(number, std::stoul(address));
        }
    }

    void ask_clock(std::size_t number, std::size_t other) {
        replica& own = this->replicas[number];
        if (this->time() - own.leadership.known_until < host::age_to_ask_clocks(this->plan->bound))
            return;
        microseconds& asked = own.clocks_asked.try_emplace(this->names[other], -1h).first->second;
        if (this->now - asked < host::ask_interval(this->plan->bound))
            return;
        asked = this->now;
        this->send_query(number, other);
    }

    void send_query(std::size_t number, std::size_t other) {
        if (other == number)
            return;
        message query = this->make_message(number, message::kind::query, this->replicas[number].seen);
        query.asked = this->now;
        this->deliver(other, query);
    }

    void send_request(std::size_t number) {
        this->at(this->now + send_interval, [this, number] { this->send_request(number); });
        const replica& own = this->replicas[number];
        if (this->is_stopped(number) || !own.has_read)
            return;
        const auto state =
            host::state_of({.bound = this->plan->bound, .use_time = this->plan->bound / 10}, own.doubt,
                           {.known_until = own.leadership.known_until,
                            .is_own_read_failing = own.reader.is_unavailable,
                            .other_hosts = this->plan->hosts - 1,
                            .now = this->time()});
        if (this->plan->has_lease && state == host::lease_state::lapsed) {
            ++this->result.refusals;
            return;
        }
        ++this->result.sends;
        const microseconds arrival = this->now + send_time;
        if (own.seen >= this->records_at(arrival))
            return;
        const auto age = std::chrono::duration_cast<milliseconds>(arrival - this->records[own.seen]);
        this->result.oldest = std::max(this->result.oldest, age);
        this->result.late_sends += age > this->plan->bound ? 1 : 0;
    }

    const replica_plan* plan;
    std::mt19937_64 random;
    std::vector<replica> replicas;
    std::vector<base::host_id> names;
    std::vector<host::cell_position> positions;
    host::peer_directory directory;
    std::vector<milliseconds> records; ///< When they were written.
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    microseconds now{};
    double bytes = 0;
    replica_result result;
};

} // namespace

replica_result run_replicas(const replica_plan& plan, std::uint64_t seed) { return model(plan, seed).run(); }

} // namespace postpaddle::test
