// SPDX-License-Identifier: BSD-2-Clause
#include "departure_model.h"

#include <decision/choice_cost.h>
#include <decision/instance_table.h>
#include <host/store_outage.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::test {

namespace {

using namespace std::chrono_literals;

constexpr base::duration tick = 50ms;
constexpr base::duration bound = 2s;
/// Age from which a host asks others, and the interval between two questions.
constexpr base::duration age_to_ask = 1'300ms;
constexpr base::duration ask_interval = 100ms;
constexpr base::duration read_interval = 200ms;
constexpr base::duration probe_interval = 500ms;
constexpr host::outage_options options{.window = 3s, .max_proof_age = bound};

struct upstream {
    settings::upstream_entry entry;                ///< As it would write it now.
    std::set<std::uint64_t> start_times;           ///< Of this and earlier starts.
    std::vector<settings::upstream_entry> written; ///< May be written once more, late.
    base::time_point in_service_since{};
    std::optional<base::time_point> left_at;    ///< When the store took the word that it leaves.
    std::optional<base::time_point> returns_at; ///< Its entry has lapsed; when it writes again.
};

struct model_host {
    base::host_id name;
    decision::instance_table table;
    host::outage_evidence evidence;
    std::size_t next = 0; ///< Offset after the newest record that it knows.
    base::time_point known_until{};
    bool is_failing = false;
    base::time_point next_read{};
    base::time_point asked_at{};
    base::time_point turned_away_until{};
};

class departure_model {
public:
    explicit departure_model(const departure_plan& departures) : plan(departures), random(departures.seed) {
        for (int number = 0; number < this->plan.upstreams; ++number) {
            upstream added;
            added.entry.id.value = "upstream-" + std::to_string(number);
            added.entry.service = "service";
            this->upstreams.push_back(std::move(added));
            this->start(this->upstreams.back());
        }
        this->hosts.resize(static_cast<std::size_t>(this->plan.hosts));
        for (std::size_t number = 0; number < this->hosts.size(); ++number)
            this->hosts[number].name.value = "host-" + std::to_string(number);
    }

    departure_result run() {
        const base::time_point end = this->now + this->plan.length;
        // Hosts read for as long as an outage is remembered before anything happens.
        const base::time_point begin = this->now + options.window + 1s;
        for (; this->now < end; this->now += tick) {
            if (this->now >= begin)
                this->disturb();
            this->write_again();
            for (model_host& host : this->hosts)
                this->read(host);
            for (model_host& host : this->hosts)
                this->ask(host);
            for (model_host& host : this->hosts)
                this->check(host);
        }
        return this->result;
    }

private:
    bool draw(double probability) { return std::bernoulli_distribution(probability)(this->random); }
    template <class Number> Number between(Number least, Number greatest) {
        return std::uniform_int_distribution<Number>(least, greatest)(this->random);
    }
    base::duration span(std::chrono::milliseconds least, std::chrono::milliseconds greatest) {
        return std::chrono::milliseconds(this->between(least.count(), greatest.count()));
    }

    bool is_away() const { return this->now < this->away_until; }

    void append(const base::upstream_id& id, std::optional<settings::upstream_entry> entry) {
        this->log.push_back({id, std::move(entry), this->log.size()});
    }

    void write(upstream& writer) {
        ++writer.entry.sequence;
        writer.written.push_back(writer.entry);
        this->append(writer.entry.id, writer.entry);
    }

    /// A new start, with a start time that is earlier or later than those before it, or none.
    void start(upstream& starting) {
        do
            starting.entry.start_time_ms = this->draw(0.2) ? 0 : this->between<std::uint64_t>(1, 1'000'000);
        while (!starting.start_times.insert(starting.entry.start_time_ms).second);
        starting.entry.sequence = 0;
        starting.entry.is_leaving = false;
        starting.left_at.reset();
        starting.returns_at.reset();
        starting.in_service_since = this->now;
        this->write(starting);
    }

    void leave(upstream& leaving) {
        leaving.left_at = this->now;
        ++this->result.departures;
        leaving.entry.is_leaving = this->draw(0.5);
        if (leaving.entry.is_leaving)
            this->write(leaving);
        else
            this->append(leaving.entry.id, std::nullopt);
    }

    void begin_outage() {
        this->away_until = this->now + this->span(2'500ms, 6'000ms);
        for (upstream& known : this->upstreams) {
            if (known.left_at || known.returns_at || this->draw(0.4))
                continue;
            this->append(known.entry.id, std::nullopt);
            known.returns_at = this->away_until + this->span(200ms, 2'000ms);
            ++this->result.lapses;
        }
    }

    bool may_start_again(const upstream& known) const {
        if (known.left_at)
            return this->now - *known.left_at > 2 * bound;
        return this->plan.has_restarts && !known.returns_at;
    }

    void disturb() {
        static constexpr double per_tick = 0.01;
        if (this->plan.turns_hosts_away && this->draw(2 * per_tick))
            for (int count = this->between(1, this->plan.hosts - 2); count > 0; --count)
                this->hosts[this->between<std::size_t>(0, this->hosts.size() - 2)].turned_away_until =
                    this->now + this->span(500ms, 8'000ms);
        if (this->is_away())
            return;
        if (this->plan.has_outages && this->now - this->away_until > options.window && this->draw(per_tick))
            this->begin_outage();
        upstream& any = this->upstreams[this->between<std::size_t>(0, this->upstreams.size() - 1)];
        const bool is_in_service = !any.left_at && !any.returns_at;
        if (this->is_away())
            return;
        if (this->plan.has_departures && is_in_service && this->draw(2 * per_tick))
            this->leave(any);
        else if (this->may_start_again(any) && this->draw(any.left_at ? 10 * per_tick : per_tick))
            this->start(any);
        else if (this->plan.writes_late && this->draw(2 * per_tick))
            this->append(any.entry.id, any.written[this->between<std::size_t>(0, any.written.size() - 1)]);
    }

    /// Upstreams whose entries lapsed write again, and one that finds another entry in place of its own.
    void write_again() {
        for (upstream& known : this->upstreams)
            if (known.returns_at && this->now >= *known.returns_at) {
                known.returns_at.reset();
                known.in_service_since = this->now;
                this->write(known);
            }
    }

    decision::registry_condition condition_of(const model_host& host) const {
        const bool was_away = host::was_store_away(host.evidence, options, this->hosts.size() - 1, this->now);
        return was_away ? decision::registry_condition::failing : decision::registry_condition::healthy;
    }

    void learn(model_host& host, std::size_t end) {
        const auto condition = this->condition_of(host);
        for (; host.next < end; ++host.next)
            (void)decision::apply_change(host.table, this->log[host.next], condition);
        if (condition == decision::registry_condition::healthy)
            (void)decision::expire_unlisted(host.table);
    }

    void read(model_host& host) {
        if (this->now < host.next_read)
            return;
        host.is_failing = this->is_away() || this->now < host.turned_away_until;
        host.next_read = this->now + (host.is_failing ? probe_interval : read_interval);
        if (host.is_failing) {
            host::record_failed(host.evidence, this->now);
            return;
        }
        host::record_served(host.evidence, options, this->now);
        host.known_until = this->now;
        this->learn(host, this->log.size());
    }

    void ask(model_host& host) {
        const bool is_in_doubt = this->now - host.known_until >= age_to_ask || host.table.has_unlisted;
        if (!is_in_doubt || this->now - host.asked_at < ask_interval)
            return;
        host.asked_at = this->now;
        for (int question = 0; question < 2; ++question) {
            model_host& other = this->hosts[this->between<std::size_t>(0, this->hosts.size() - 1)];
            if (&other == &host)
                continue;
            if (host.is_failing)
                host::record_failing(other.evidence, host.name, this->now);
            if (other.is_failing)
                host::record_failing(host.evidence, other.name, this->now);
            else
                host::record_span(host.evidence, options, other.name, other.evidence.own);
            host.known_until = std::max(host.known_until, other.known_until);
            this->learn(host, std::max(host.next, other.next));
        }
    }

    void check(const model_host& host) {
        if (!this->is_away() && this->now - host.known_until >= bound)
            return;
        const decision::choice_context context = {
            .service = "service", .own_zone = {}, .excluded = {}, .now = this->now};
        const auto eligible =
            decision::eligible_instances(host.table, context, [](const decision::instance&) { return true; });
        bool is_any_usable = false;
        bool is_any_in_service = false;
        for (const upstream& known : this->upstreams) {
            const bool is_eligible = std::ranges::any_of(eligible, [&](const decision::instance* candidate) {
                return candidate->entry.id == known.entry.id;
            });
            // What left within the bound need not be known yet.
            is_any_usable |= is_eligible && (!known.left_at || this->now - *known.left_at <= bound);
            is_any_in_service |= !known.left_at && this->now - known.in_service_since > bound;
            if (is_eligible && known.left_at)
                this->check_late(*known.left_at);
        }
        this->result.unserved += is_any_in_service && !is_any_usable ? 1 : 0;
    }

    void check_late(base::time_point left_at) {
        // While the store recovers, entries that go can't be told from those that lapsed.
        const base::time_point word_at =
            std::max(left_at, std::min(this->away_until, this->now) + options.window);
        const base::duration late = this->now - word_at - bound;
        if (late <= base::duration::zero())
            return;
        ++this->result.late_uses;
        this->result.latest = std::max(this->result.latest, late);
    }

    departure_plan plan;
    std::mt19937_64 random;
    base::time_point now{1h};
    base::time_point away_until{};
    std::vector<decision::registry_change> log;
    std::vector<upstream> upstreams;
    std::vector<model_host> hosts;
    departure_result result;
};

} // namespace

departure_result run_departures(const departure_plan& plan) { return departure_model(plan).run(); }

} // namespace postpaddle::test
