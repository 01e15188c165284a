// SPDX-License-Identifier: BSD-2-Clause
#include "departure_model.h"

#include <decision/choice_cost.h>
#include <decision/instance_table.h>
#include <host/replica_lease.h>
#include <host/store_outage.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::test {

namespace {

using namespace std::chrono_literals;

constexpr base::duration tick = 50ms;
constexpr std::chrono::milliseconds bound = 2s;
/// Age from which a host asks others, and the interval between two questions.
constexpr base::duration age_to_ask = 1'300ms;
constexpr base::duration ask_interval = 100ms;
constexpr base::duration read_interval = 200ms;
constexpr base::duration probe_interval = 500ms;
/// Longest time for which reads of all hosts end without saying anything of the store. With the interval
/// until the next read it is less than the bound: a longer one can't be told from an absence.
constexpr std::chrono::milliseconds max_blur = 1'200ms;
/// Between two listings of a host whose last one was behind the log.
constexpr base::duration listing_interval = 1s;
constexpr host::outage_options options{.window = 3s, .max_proof_age = bound};
/// A send in the model takes no time.
constexpr host::replica_lease_options lease{.bound = bound, .use_time = 0ms};

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
    std::size_t next = 0;      ///< All records before this offset are known.
    bool must_list = true;     ///< Its next read is a listing.
    std::size_t log_begin = 0; ///< First record that the store kept when it last lost history.
    base::time_point known_until{};
    host::read_ending last_ending = host::read_ending::answered;
    host::replica_doubt doubt;
    base::time_point next_read{};
    base::time_point asked_at{};
    base::time_point turned_away_until{};
    host::read_ending turned_away_by = host::read_ending::turned_away;
    base::time_point unclear_until{};
    host::read_ending unclear_by = host::read_ending::cut;
};

bool has_gap(const model_host& host) { return host.next < host.log_begin; }

std::size_t read_offset_of(const model_host& host) { return std::max(host.next, host.log_begin); }

bool is_failing(const model_host& host) {
    return host::evidence_of(host.last_ending).proof != host::store_proof::present;
}

/// Endings of reads at a store that is away, of those at one that turns a host away, and those that say
/// nothing of the store.
constexpr std::array away_endings = {host::read_ending::turned_away, host::read_ending::no_answer};
constexpr std::array refused_endings = {host::read_ending::turned_away, host::read_ending::no_answer,
                                        host::read_ending::rejected};
constexpr std::array unclear_endings = {host::read_ending::lost_wait, host::read_ending::cut,
                                        host::read_ending::unreadable, host::read_ending::ended_too_late};

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

    template <std::size_t Count>
    host::read_ending any_of(const std::array<host::read_ending, Count>& endings) {
        return endings.at(this->between<std::size_t>(0, Count - 1));
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

    /// A new start, with a start time that is earlier or later than those before it, or none. What tells
    /// starts without a time from each other is their order, part of which the store may have forgotten.
    void start(upstream& starting) {
        do
            starting.entry.start_time_ms =
                !this->plan.forgets && this->draw(0.2) ? 0 : this->between<std::uint64_t>(1, 1'000'000);
        while (!starting.start_times.insert(starting.entry.start_time_ms).second);
        starting.entry.sequence = 0;
        starting.entry.is_leaving = false;
        starting.left_at.reset();
        starting.returns_at.reset();
        starting.in_service_since = this->now;
        // A host that lost the record of this start can't tell late ones of an earlier start from it.
        if (this->plan.forgets)
            starting.written.clear();
        this->write(starting);
    }

    /// An upstream leaves; at times the store forgets its word at once.
    void leave_with_history(upstream& leaving) {
        this->leave(leaving);
        if (this->plan.forgets && this->draw(0.3))
            this->forget();
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

    /// The store forgets what came before now, with the newest record or without it.
    void forget() {
        this->first_kept = this->log.size();
        ++this->result.losses;
        if (this->draw(0.5))
            return;
        // Until then listings show what was there before the last record.
        this->stale_listing_end = this->log.size() - 1;
        this->stale_until = this->now + this->span(200ms, 5'000ms);
    }

    /// Reads of some hosts, or of all, end without saying anything of the store, for less than the bound:
    /// what lasts longer can't be told from an absence.
    void blur() {
        this->blurred_until = this->now + max_blur;
        const bool is_all = this->draw(0.3);
        for (model_host& host : this->hosts) {
            if (!is_all && this->draw(0.6))
                continue;
            host.unclear_until = std::min(this->now + this->span(50ms, max_blur), this->blurred_until);
            host.unclear_by = this->any_of(unclear_endings);
        }
    }

    void begin_outage() {
        this->away_by = this->any_of(away_endings);
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

    /// Whether another host has been served for long enough to know so before this one is turned away.
    bool is_another_served(const model_host& host) const {
        return std::ranges::any_of(this->hosts, [&](const model_host& other) {
            return &other != &host && this->now - other.turned_away_until > 2 * probe_interval;
        });
    }

    /// Whoever has not read that an upstream left, and can't any more, can't tell a record that it wrote
    /// before.
    bool may_write_late(const upstream& known) const {
        return this->plan.writes_late && (!this->plan.forgets || !known.left_at);
    }

    void disturb() {
        static constexpr double per_tick = 0.01;
        if (this->plan.turns_hosts_away && this->draw(2 * per_tick))
            for (int count = this->between(1, this->plan.hosts - 2); count > 0; --count) {
                model_host& host = this->hosts[this->between<std::size_t>(0, this->hosts.size() - 1)];
                if (!this->is_another_served(host))
                    continue;
                host.turned_away_until = this->now + this->span(500ms, 8'000ms);
                host.turned_away_by = this->any_of(refused_endings);
            }
        if (this->plan.has_unclear_endings && this->now - this->blurred_until > bound && this->draw(per_tick))
            this->blur();
        // Also twice within moments, and while the store is away.
        if (this->plan.forgets && this->draw(2 * per_tick))
            this->forget();
        if (this->is_away())
            return;
        if (this->plan.has_outages && this->now - this->away_until > options.window && this->draw(per_tick))
            this->begin_outage();
        upstream& any = this->upstreams[this->between<std::size_t>(0, this->upstreams.size() - 1)];
        const bool is_in_service = !any.left_at && !any.returns_at;
        if (this->is_away())
            return;
        if (this->plan.has_departures && is_in_service && this->draw(2 * per_tick))
            this->leave_with_history(any);
        else if (this->may_start_again(any) && this->draw(any.left_at ? 10 * per_tick : per_tick))
            this->start(any);
        else if (this->may_write_late(any) && this->draw(2 * per_tick))
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

    void learn(model_host& host, std::size_t begin, std::size_t end) {
        const auto condition = this->condition_of(host);
        for (std::size_t offset = begin; offset < end; ++offset)
            (void)decision::apply_change(host.table, this->log[offset], condition);
        if (begin <= host.next)
            host.next = std::max(host.next, end);
        this->expire(host);
    }

    void expire(model_host& host) const {
        if (this->condition_of(host) == decision::registry_condition::healthy)
            (void)decision::expire_unlisted(host.table);
    }

    /// The newest record of each upstream that is listed, which may be behind the log.
    void list(model_host& host) {
        const std::size_t end = this->now < this->stale_until
                                    ? std::min(this->stale_listing_end, this->log.size())
                                    : this->log.size();
        std::map<base::upstream_id, decision::registry_change> newest;
        for (std::size_t offset = 0; offset < end; ++offset)
            newest.insert_or_assign(this->log[offset].id, this->log[offset]);
        decision::registry_snapshot snapshot{.entries = {}, .unreadable = {}, .end = end};
        for (const auto& [id, change] : newest)
            if (change.entry)
                snapshot.entries.push_back(change);
        (void)decision::apply_snapshot(host.table, snapshot, this->condition_of(host));
        this->expire(host);
        host.must_list = false;
        host.next = std::max(host.next, end);
    }

    host::read_ending ending_of_read(const model_host& host) const {
        if (this->is_away())
            return this->away_by;
        if (this->now < host.turned_away_until)
            return host.turned_away_by;
        if (this->now < host.unclear_until)
            return host.unclear_by;
        return !host.must_list && read_offset_of(host) < this->first_kept ? host::read_ending::history_lost
                                                                          : host::read_ending::answered;
    }

    /// A time longer than the bound for which no host can say that the store was there is one in which it may
    /// have been away.
    void record_proof(host::read_ending ending) {
        if (host::evidence_of(ending).proof != host::store_proof::present)
            return;
        if (this->now - this->proved_at >= bound)
            this->unproven_until = this->now;
        this->proved_at = this->now;
    }

    /// Until when the store was away, or may have been as far as any host can tell.
    base::time_point doubtful_until() const {
        const bool is_unproven = this->now - this->proved_at >= bound;
        const base::time_point unproven = is_unproven ? this->now : this->unproven_until;
        return std::max(std::min(this->away_until, this->now), unproven);
    }

    void read(model_host& host) {
        if (this->now < host.next_read)
            return;
        host.last_ending = this->ending_of_read(host);
        ++this->result.endings.at(static_cast<std::size_t>(host.last_ending));
        host.next_read = this->now + (is_failing(host) ? probe_interval : read_interval);
        host::record_read(host.evidence, options, host.last_ending, this->now);
        this->record_proof(host.last_ending);
        if (host.last_ending == host::read_ending::history_lost) {
            host.must_list = true;
            host.log_begin = this->first_kept;
            host.next_read = this->now;
            return;
        }
        if (host.last_ending != host::read_ending::answered) {
            if (!is_failing(host))
                host::record_uninformed(host.doubt, host.name, this->now);
            return;
        }
        if (host.must_list) {
            this->list(host);
            host.next_read = this->now;
            return;
        }
        this->learn(host, read_offset_of(host), this->log.size());
        if (!has_gap(host)) {
            host.known_until = this->now;
            host::end_doubt(host.doubt);
            return;
        }
        host::record_uninformed(host.doubt, host.name, this->now);
        host.must_list = true;
        host.next_read = this->now + listing_interval;
    }

    /// Another host, if possible one that was not asked since the doubt began.
    model_host& host_to_ask(model_host& host) {
        std::vector<model_host*> unasked;
        for (model_host& other : this->hosts)
            if (&other != &host && !host.doubt.asked.contains(other.name.value))
                unasked.push_back(&other);
        if (!unasked.empty())
            return *unasked[this->between<std::size_t>(0, unasked.size() - 1)];
        return this->hosts[this->between<std::size_t>(0, this->hosts.size() - 1)];
    }

    void ask(model_host& host) {
        const bool is_in_doubt = this->now - host.known_until >= age_to_ask || host.table.has_unlisted;
        if (!is_in_doubt || this->now - host.asked_at < ask_interval)
            return;
        host.asked_at = this->now;
        for (int question = 0; question < 2; ++question) {
            model_host& other = this->host_to_ask(host);
            if (&other != &host)
                this->exchange(host, other);
        }
    }

    /// A host asks another one, and tells of itself with that.
    void exchange(model_host& host, const model_host& other) {
        host.doubt.asked.insert(other.name.value);
        if (host::is_absence_told(host.evidence, options, this->now))
            host::record_absence(this->host_named(other.name).evidence, host.name, this->now);
        if (host::is_absence_told(other.evidence, options, this->now))
            host::record_absence(host.evidence, other.name, this->now);
        host::record_presence(host.evidence, other.evidence.known);
        // Hosts keep the latest changes only.
        if (other.next <= host.next || this->draw(0.8)) {
            this->learn(host, host.next, other.next);
            host.known_until = std::max(host.known_until, other.known_until);
        }
        if (this->now - host.known_until < age_to_ask)
            host::end_doubt(host.doubt);
        else
            host::record_answer(
                host.doubt, {.host = other.name,
                             .is_read_failing = is_failing(other),
                             .is_uninformed = host::is_uninformed(lease, other.doubt, other.name, this->now),
                             .received = this->now});
    }

    model_host& host_named(const base::host_id& name) {
        return *std::ranges::find_if(this->hosts, [&](const model_host& host) { return host.name == name; });
    }

    bool may_use_registry(const model_host& host) const {
        return host::state_of(lease, host.doubt,
                              {.known_until = host.known_until,
                               .is_own_read_failing = is_failing(host),
                               .other_hosts = this->hosts.size() - 1,
                               .now = this->now}) != host::lease_state::lapsed;
    }

    /// Whether the host has been able to learn that the upstream is there. Of one whose entry has lapsed the
    /// store names nothing any more.
    static bool has_heard_of(const model_host& host, const upstream& known) {
        const auto found = host.table.by_id.find(known.entry.id);
        const bool has_read_entry = found != host.table.by_id.end() &&
                                    found->second.entry.start_time_ms == known.entry.start_time_ms &&
                                    found->second.entry.sequence == known.entry.sequence;
        return known.returns_at ? has_read_entry : host.known_until > known.in_service_since;
    }

    void check(const model_host& host) {
        if (!this->may_use_registry(host))
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
            // What left within the bound, or what the store forgot before this host read it, isn't known.
            is_any_usable |= is_eligible && (!known.left_at || this->now - *known.left_at <= bound ||
                                             host.known_until < *known.left_at);
            is_any_in_service |= !known.left_at && this->now - known.in_service_since > bound &&
                                 this->has_heard_of(host, known);
            if (is_eligible && known.left_at)
                this->check_late(*known.left_at);
        }
        this->result.unserved += is_any_in_service && !is_any_usable ? 1 : 0;
    }

    void check_late(base::time_point left_at) {
        // While the store recovers, entries that go can't be told from those that lapsed.
        const base::time_point word_at = std::max(left_at, this->doubtful_until() + options.window);
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
    host::read_ending away_by = host::read_ending::turned_away;
    base::time_point proved_at = now; ///< When a read of any host last proved that the store was there.
    base::time_point unproven_until{};
    base::time_point blurred_until{};
    std::size_t first_kept = 0; ///< Offset of the oldest record that the store kept.
    base::time_point stale_until{};
    std::size_t stale_listing_end = 0; ///< Until then, where listings end.
    std::vector<decision::registry_change> log;
    std::vector<upstream> upstreams;
    std::vector<model_host> hosts;
    departure_result result;
};

} // namespace

departure_result run_departures(const departure_plan& plan) { return departure_model(plan).run(); }

} // namespace postpaddle::test
