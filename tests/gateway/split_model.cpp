// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/split_model.h>

#include <base/hashing.h>
#include <gateway/stream_origin/service_splits.h>
#include <host/origin_evidence.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace postpaddle::test {

namespace {

using namespace std::chrono_literals;
using host::stream_origin;

const base::time_point origin{1h};
const std::string service = "engines";
const std::string route = "tell";
// As in `version_splits.cpp`.
constexpr milliseconds check_interval = 50ms;
constexpr milliseconds view_interval = 200ms;
constexpr milliseconds retry_interval = 250ms;
constexpr milliseconds poll_interval = 1s;
constexpr milliseconds takeover_delay = 1s;
constexpr milliseconds takeover_spread = 4s;
constexpr milliseconds call_timeout = 400ms;
constexpr milliseconds retention_margin = 10s;
constexpr int return_factor = 2;
/// As in the hosts' settings.
constexpr milliseconds heartbeat_interval = 1s;
// As in `request_origin.cpp`.
constexpr milliseconds record_margin = 10s;
constexpr milliseconds journal_pause = 1s;
/// Attempts of one request.
constexpr int max_attempts = 4;
/// Contents that several callers bring.
constexpr std::uint64_t shared_contents = 12;
/// Other hosts that are told of a stream's origin.
constexpr std::size_t replicas = 5;

/// What the store has.
struct model_store {
    std::vector<std::string> notes;
    std::array<std::vector<host::journal_record>, host::journal_partitions> journal;
};

/// Record of a stream at a host.
struct known_origin {
    std::string version;
    milliseconds expires{};
};

struct model_host {
    bool is_alive = true;
    int starts = 0;
    std::size_t registry_seen = 0; ///< Number of states known; 0: none.
    milliseconds lag{};
    milliseconds lag_until{};
    std::map<std::string, milliseconds> known_versions; ///< Since when.
    gateway::service_view view;
    std::size_t view_of = 0; ///< State of the registry for which `view` was made.
    milliseconds view_made_at{-1h};
    std::optional<gateway::service_splits> stored;
    gateway::split_ages ages;
    std::optional<std::size_t> notes_read;
    std::optional<milliseconds> known_at;
    milliseconds read_at{-1h};
    std::optional<milliseconds> mismatched_since;
    std::optional<milliseconds> newer_heard_at;
    std::optional<milliseconds> journal_failed_at;
    host::journal_index index;
    std::array<std::size_t, host::journal_partitions> journal_read{};
    std::map<std::uint64_t, known_origin> origins; ///< By the attempt's id.
};

struct model_stream {
    std::uint64_t id = 0;
    std::uint64_t content = 0;
    bool is_named = false;
    std::string version;
    milliseconds begun{};
    milliseconds patience{};
    std::string how;
};

/// The state of a `gateway_request`.
struct model_request {
    std::uint64_t id = 0;
    std::uint64_t content = 0;
    milliseconds lifetime{};
    std::optional<std::string> origin{};
    std::optional<std::string> journalled{};
    std::uint32_t journal_revisions = 0;
    std::set<std::string> unwritten{}; ///< Versions of records that may yet take effect.
};

class model {
public:
    model(const split_plan& plan, std::uint64_t seed) : plan(&plan), random(seed), hosts(plan.hosts) {}

    split_result run() {
        for (std::size_t number = 0; number < this->hosts.size(); ++number) {
            this->at(this->between(0ms, check_interval), [this, number] { this->check(number); });
            this->at(this->between(0ms, heartbeat_interval),
                     [this, number] { this->hear_of_splits(number); });
        }
        for (const host_loss& loss : this->plan->losses) {
            this->at(loss.begin, [this, &loss] { this->kill(loss); });
            this->at(loss.end, [this, &loss] { this->restart(loss); });
        }
        this->at(2s, [this] { this->begin_next(); });
        while (!this->events.empty() && this->events.top().at < this->plan->length) {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return this->result;
    }

private:
    struct event {
        milliseconds at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void at(milliseconds when, std::function<void()> action) {
        this->events.push({when, ++this->event_count, std::move(action)});
    }
    milliseconds between(milliseconds low, milliseconds high) {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(this->random));
    }
    bool happens(double probability) { return std::bernoulli_distribution(probability)(this->random); }
    [[nodiscard]] base::time_point time() const { return origin + this->now; }

    // The store and the registry.

    [[nodiscard]] bool reaches_store(std::size_t number) const {
        return std::ranges::none_of(this->plan->outages, [&](const store_outage& outage) {
            const bool concerns = outage.hosts.empty() || std::ranges::count(outage.hosts, number) > 0;
            return concerns && outage.begin <= this->now && this->now < outage.end;
        });
    }

    /// Carries out an append; returns whether the host that asked learns of it.
    bool append(std::size_t number, const std::function<bool()>& take) {
        if (!this->reaches_store(number))
            return false;
        if (this->happens(this->plan->late_appends)) {
            this->at(this->now + this->between(50ms, 3s), [take] { (void)take(); });
            return false;
        }
        const bool is_taken = take();
        return is_taken && !this->happens(this->plan->lost_answers);
    }

    /// When the registry reached that state: it can't change while the store is away.
    [[nodiscard]] milliseconds written_at(const registry_step& step) const {
        milliseconds at = step.at;
        for (const store_outage& outage : this->plan->outages)
            if (outage.hosts.empty() && outage.begin <= at && at < outage.end)
                at = outage.end;
        return at;
    }

    void learn_registry(std::size_t number) {
        model_host& host = this->hosts[number];
        if (this->now >= host.lag_until) {
            host.lag = this->happens(0.7) ? this->between(10ms, 300ms)
                                          : this->between(0ms, this->plan->registry_bound);
            host.lag_until = this->now + this->between(1s, 6s);
        }
        // A host that starts reads the registry from the store or another host.
        const bool has_others = std::ranges::any_of(
            this->hosts, [](const model_host& other) { return other.is_alive && other.registry_seen > 0; });
        if (host.registry_seen == 0 && !has_others && !this->reaches_store(number))
            return;
        const auto& steps = this->plan->registry;
        std::size_t seen = host.registry_seen;
        while (seen < steps.size() && this->written_at(steps[seen]) + host.lag <= this->now)
            ++seen;
        seen = std::max<std::size_t>(seen, 1);
        for (std::size_t index = host.registry_seen; index < seen; ++index)
            for (const auto& [version, slots] : steps[index].slots)
                // Those of its first look have been in use.
                host.known_versions.try_emplace(version, host.registry_seen == 0 ? -1h : this->now);
        host.registry_seen = seen;
    }

    [[nodiscard]] const std::map<std::string, std::uint32_t>& slots_of(const model_host& host) const {
        return this->plan->registry[host.registry_seen - 1].slots;
    }
    [[nodiscard]] bool is_listed(const model_host& host, const std::string& version) const {
        const auto found = this->slots_of(host).find(version);
        return found != this->slots_of(host).end() && found->second > 0;
    }

    // `version_splits`.

    bool read(std::size_t number) {
        model_host& host = this->hosts[number];
        host.read_at = this->now;
        if (!this->reaches_store(number))
            return false;
        const std::size_t first =
            host.notes_read.value_or(this->store.notes.empty() ? 0 : this->store.notes.size() - 1);
        for (std::size_t index = first; index < this->store.notes.size(); ++index) {
            host.stored = gateway::decode_splits(this->store.notes[index]);
            gateway::record_ages(host.ages, *host.stored, host.view, this->time());
        }
        host.notes_read = this->store.notes.size();
        host.known_at = this->now;
        return true;
    }

    void update_view(model_host& host) const {
        if (host.view_of == host.registry_seen || this->now - host.view_made_at < view_interval)
            return;
        host.view_made_at = this->now;
        host.view_of = host.registry_seen;
        host.view = {.capacity = {}, .versions = {}, .routes = {route}};
        for (const auto& [version, slots] : this->slots_of(host)) {
            host.view.versions.insert(version);
            if (slots > 0)
                host.view.capacity.emplace(version, slots);
        }
    }

    [[nodiscard]] std::optional<gateway::service_splits> find_update(const model_host& host) const {
        if (host.view.versions.empty())
            return std::nullopt;
        const base::duration retention =
            return_factor * this->plan->time_limit + retention_margin + 3 * poll_interval;
        return gateway::update_splits(host.stored, host.view,
                                      gateway::find_expired(host.ages, retention, this->time()));
    }

    /// A heartbeat of one other host.
    void hear_of_splits(std::size_t number) {
        this->at(this->now + heartbeat_interval, [this, number] { this->hear_of_splits(number); });
        model_host& host = this->hosts[number];
        const auto other = this->any_host();
        if (!other || !host.is_alive)
            return;
        if (this->hosts[*other].notes_read.value_or(0) > host.notes_read.value_or(0))
            host.newer_heard_at = this->now;
    }

    [[nodiscard]] static bool are_newer_elsewhere(const model_host& host) {
        return host.newer_heard_at && (!host.known_at || *host.known_at < *host.newer_heard_at);
    }

    [[nodiscard]] bool is_read_due(const model_host& host) const {
        const milliseconds since = this->now - host.read_at;
        if (!host.known_at)
            return since >= retry_interval;
        const bool has_several = host.stored && host.stored->history.splits.size() > 1;
        return (has_several || host.mismatched_since || are_newer_elsewhere(host) ||
                !this->plan->rules.is_single_split_confirmed) &&
               since >= poll_interval;
    }

    [[nodiscard]] bool is_write_due(std::size_t number) const {
        const model_host& host = this->hosts[number];
        if (!host.known_at || !host.mismatched_since)
            return false;
        if (this->now - host.read_at < retry_interval && *host.known_at != host.read_at)
            return false;
        const double position = static_cast<double>(number) / static_cast<double>(this->hosts.size());
        const auto spread = std::chrono::duration_cast<milliseconds>(position * takeover_spread);
        const milliseconds delay = number == 0 ? 0ms : takeover_delay + spread;
        return this->now - *host.mismatched_since >= delay;
    }

    void write_update(std::size_t number) {
        if (!this->read(number))
            return;
        const auto update = this->find_update(this->hosts[number]);
        if (!update)
            return;
        const std::size_t end = *this->hosts[number].notes_read;
        (void)this->append(number, [this, end, text = gateway::encode_splits(*update)] {
            if (this->store.notes.size() != end)
                return false;
            this->store.notes.push_back(text);
            return true;
        });
        (void)this->read(number);
    }

    void check(std::size_t number) {
        this->at(this->now + check_interval, [this, number] { this->check(number); });
        model_host& host = this->hosts[number];
        if (!host.is_alive)
            return;
        this->learn_registry(number);
        if (host.registry_seen == 0)
            return;
        this->update_view(host);
        if (!this->find_update(host))
            host.mismatched_since.reset();
        else if (!host.mismatched_since)
            host.mismatched_since = this->now;
        if (this->is_write_due(number))
            this->write_update(number);
        else if (this->is_read_due(host))
            (void)this->read(number);
    }

    [[nodiscard]] bool covers_registry(const model_host& host) const {
        if (!host.stored)
            return false;
        const auto known = decision::versions_in(host.stored->history);
        return std::ranges::all_of(this->slots_of(host),
                                   [&](const auto& item) { return known.contains(item.first); });
    }

    [[nodiscard]] bool is_confirmed(const model_host& host) const {
        if (!host.known_at || !host.stored || host.view.versions.empty())
            return false;
        const auto known = decision::versions_in(host.stored->history);
        if (!std::ranges::includes(known, host.view.versions))
            return false;
        const bool is_single = this->plan->rules.is_single_split_confirmed
                                   ? host.stored->history.splits.size() == 1
                                   : known.size() == 1;
        return is_single || this->now - *host.known_at < 2 * poll_interval + call_timeout;
    }

    // The journal.

    static host::stream_keys keys_of(std::uint64_t id, std::uint64_t content) {
        return {.by_id = {.high = id, .low = 0}, .by_content = {.high = content, .low = 0}};
    }

    /// The host itself and the first other one, in the order in which it uses them for the partition, if it
    /// knows which are alive.
    [[nodiscard]] std::vector<std::size_t> hosts_for(std::uint32_t partition, std::size_t own) const {
        const auto order = [&](std::size_t number) {
            return base::hash64(std::to_string(number), partition);
        };
        std::optional<std::size_t> other;
        for (std::size_t number = 0; number < this->hosts.size(); ++number)
            if (number != own && this->hosts[number].is_alive && (!other || order(number) > order(*other)))
                other = number;
        if (!other)
            return {own};
        return order(*other) > order(own) ? std::vector{*other, own} : std::vector{own, *other};
    }

    bool write_record(std::size_t number, const host::journal_record& record) {
        const std::uint32_t partition = host::journal_partition_of(record.keys);
        const auto take = [this, partition, record] {
            const auto decoded = host::decode_journal_batch(host::encode_journal_batch({record}));
            this->store.journal.at(partition).push_back(decoded->front());
            return true;
        };
        // After a write without an answer the host reads whether the store has the record.
        const auto is_taken = std::make_shared<bool>(false);
        const auto take_and_note = [is_taken, take] { return *is_taken = take(); };
        return std::ranges::any_of(this->hosts_for(partition, number), [&](std::size_t writer) {
            return this->append(writer, take_and_note) || (*is_taken && this->reaches_store(writer));
        });
    }

    std::optional<host::journal_findings> read_journal(std::size_t number, const host::stream_keys& keys) {
        const std::uint32_t partition = host::journal_partition_of(keys);
        const auto readers = this->hosts_for(partition, number);
        const auto reader =
            std::ranges::find_if(readers, [&](std::size_t each) { return this->reaches_store(each); });
        if (reader == readers.end())
            return std::nullopt;
        model_host& host = this->hosts[*reader];
        const auto& records = this->store.journal.at(partition);
        for (std::size_t& next = host.journal_read.at(partition); next < records.size(); ++next)
            host.index.add(records[next], this->time());
        return host.index.find(keys, this->time());
    }

    // `request_origin`.

    [[nodiscard]] std::vector<std::string> versions_until_listed(const model_host& host,
                                                                 std::uint64_t content) const {
        if (!host.stored || host.stored->history.splits.empty())
            return {};
        auto versions = decision::versions_by_preference(host.stored->history.splits.back(), content);
        const auto first = std::ranges::find_if(
            versions, [&](const std::string& version) { return this->is_listed(host, version); });
        if (first != versions.end())
            versions.erase(std::next(first), versions.end());
        return versions;
    }

    [[nodiscard]] std::optional<std::set<stream_origin>> find_unrecorded(const model_host& host,
                                                                         std::uint64_t content) const {
        if (!host.stored || !host.stored->routes.contains(route) || !this->covers_registry(host))
            return std::nullopt;
        std::set<stream_origin> origins;
        for (const std::string& version : decision::assigned_versions(host.stored->history, content))
            origins.insert({service, version});
        for (const std::string& version : this->versions_until_listed(host, content))
            origins.insert({service, version});
        return origins;
    }

    [[nodiscard]] std::optional<std::string> default_version(const model_host& host,
                                                             std::uint64_t content) const {
        const auto versions = this->versions_until_listed(host, content);
        if (versions.empty() || !this->is_listed(host, versions.back()))
            return std::nullopt;
        const begin_rules& rules = this->plan->rules;
        if (!rules.may_default_to_later_version && versions.size() > 1)
            return std::nullopt;
        if (!rules.may_default_on_replaced_splits && are_newer_elsewhere(host))
            return std::nullopt;
        if (!rules.may_default_on_old_splits && this->now - *host.known_at > retention_margin)
            return std::nullopt;
        return versions.back();
    }

    [[nodiscard]] bool is_journal_failing(const model_host& host) const {
        return host.journal_failed_at && this->now - *host.journal_failed_at < journal_pause;
    }

    bool write_journal(std::size_t number, model_request& request, const std::string& version) {
        model_host& host = this->hosts[number];
        if (this->is_journal_failing(host))
            return false;
        const bool is_written = this->write_record(number, {.keys = keys_of(request.id, request.content),
                                                            .origin = {service, version},
                                                            .revision = request.journal_revisions++,
                                                            .lifetime = request.lifetime});
        if (is_written) {
            request.journalled = version;
            request.unwritten.clear();
        } else {
            request.unwritten.insert(version);
        }
        host.journal_failed_at = is_written ? std::nullopt : std::optional(this->now);
        return is_written;
    }

    [[nodiscard]] static bool has_unwritten_other(const model_request& request, const std::string& version) {
        return std::ranges::any_of(request.unwritten,
                                   [&](const std::string& other) { return other != version; });
    }

    /// Returns how the stream may begin or go on, nothing if it may not.
    std::optional<std::string> prepare(std::size_t number, model_request& request,
                                       const std::string& version) {
        const model_host& host = this->hosts[number];
        const bool may_lack_record =
            this->plan->rules.may_ignore_failed_record || !has_unwritten_other(request, version);
        const bool is_derivable = host.stored && host.stored->routes.contains(route) &&
                                  this->is_confirmed(host) &&
                                  decision::is_derivable(host.stored->history, request.content, version);
        if (request.journalled == version)
            return "recorded";
        if (!request.journalled && is_derivable && may_lack_record)
            return "derived";
        if (this->write_journal(number, request, version))
            return "recorded";
        if (request.origin)
            return "going on";
        if (request.journalled || !may_lack_record)
            return std::nullopt;
        if (!host.stored)
            return this->plan->rules.may_begin_without_splits && this->slots_of(host).size() == 1
                       ? std::optional<std::string>("single")
                       : std::nullopt;
        return this->default_version(host, request.content) == version ? std::optional<std::string>("default")
                                                                       : std::nullopt;
    }

    // Callers.

    [[nodiscard]] std::optional<std::size_t> any_host() {
        std::vector<std::size_t> living;
        for (std::size_t number = 0; number < this->hosts.size(); ++number)
            if (this->hosts[number].is_alive && this->hosts[number].registry_seen > 0)
                living.push_back(number);
        if (living.empty())
            return std::nullopt;
        return living[std::uniform_int_distribution<std::size_t>(0, living.size() - 1)(this->random)];
    }

    /// The version of the engine that `choose_engines` plans for.
    std::optional<std::string> choose_version(const model_host& host, const model_request& request) {
        std::vector<std::string> listed;
        std::vector<std::string> settled;
        for (const auto& [version, slots] : this->slots_of(host)) {
            if (slots == 0)
                continue;
            listed.push_back(version);
            if (this->now - host.known_versions.at(version) >= this->plan->registry_bound * 3 / 2)
                settled.push_back(version);
        }
        std::vector<std::string> usable = settled.empty() ? listed : settled;
        if (usable.empty())
            return std::nullopt;
        std::vector<std::string> preferred;
        std::optional<std::string> only;
        if (host.stored && decision::versions_in(host.stored->history).size() > 1) {
            preferred = decision::versions_by_preference(host.stored->history.splits.back(), request.content);
            if (this->is_journal_failing(host))
                only = this->default_version(host, request.content);
        }
        if (only)
            return std::ranges::count(listed, *only) > 0 ? only : std::nullopt;
        for (const std::string& version : preferred)
            if (std::ranges::count(usable, version) > 0 && !this->happens(this->plan->full))
                return version;
        return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(this->random)];
    }

    /// Attempts to begin a stream; returns its version and how it began.
    std::optional<std::pair<std::string, std::string>> attempt_begin(std::size_t number,
                                                                     model_request request) {
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            const auto version = this->choose_version(this->hosts[number], request);
            if (!version)
                return std::nullopt;
            const auto how = this->prepare(number, request, *version);
            if (!how) {
                const auto other = this->default_version(this->hosts[number], request.content);
                if (!this->is_journal_failing(this->hosts[number]) || !other || *other == *version ||
                    request.journalled)
                    return std::nullopt;
                continue;
            }
            if (!this->happens(this->plan->failed_runs)) {
                std::string note = *how;
                if (has_unwritten_other(request, *version))
                    note += ", other record may be written";
                if (attempt > 0)
                    note += ", attempt " + std::to_string(attempt + 1);
                return std::pair(*version, note + ", host " + std::to_string(number));
            }
            if (!this->happens(this->plan->forwarded))
                continue;
            number = *this->any_host();
            if (this->plan->rules.is_forwarding_blind)
                request = {.id = request.id, .content = request.content, .lifetime = request.lifetime};
        }
        return std::nullopt;
    }

    void begin_next() {
        this->at(this->now + this->between(1ms, 2000ms / this->plan->streams_per_second),
                 [this] { this->begin_next(); });
        const auto number = this->any_host();
        if (!number)
            return;
        model_stream stream;
        stream.id = ++this->stream_count;
        // Spread over all 64 bits, as fingerprints are.
        stream.content =
            this->happens(0.3)
                ? base::hash64("shared",
                               std::uniform_int_distribution<std::uint64_t>(1, shared_contents)(this->random))
                : base::hash64("own", stream.id);
        stream.is_named = this->happens(0.5);
        stream.begun = this->now;
        stream.patience = this->between(1s, return_factor * this->plan->time_limit);
        const auto begun = this->attempt_begin(
            *number, {.id = stream.id, .content = stream.content, .lifetime = this->record_lifetime()});
        if (!begun) {
            ++this->result.refused;
            return;
        }
        ++this->result.begun;
        std::tie(stream.version, stream.how) = *begun;
        this->result.derived += stream.how.starts_with("derived") ? 1 : 0;
        this->result.defaulted +=
            stream.how.starts_with("default") || stream.how.starts_with("single") ? 1 : 0;
        this->record_at_hosts(*number, stream);
        if (this->happens(this->plan->returning))
            this->plan_return(stream);
    }

    /// A request's deadline is at most the time limit after its arrival.
    [[nodiscard]] milliseconds record_lifetime() const {
        return (this->plan->rules.are_records_kept_shorter ? 1 : return_factor) * this->plan->time_limit +
               record_margin;
    }

    void record_at_hosts(std::size_t number, const model_stream& stream) {
        const known_origin known{.version = stream.version, .expires = this->now + this->record_lifetime()};
        this->hosts[number].origins[stream.id] = known;
        for (std::size_t count = 0; count < replicas; ++count)
            if (const auto other = this->any_host())
                this->hosts[*other].origins[stream.id] = known;
    }

    void plan_return(const model_stream& stream) {
        const milliseconds last = stream.begun + stream.patience;
        if (last > this->now)
            this->at(this->between(this->now + 1ms, last), [this, stream] { this->return_to(stream); });
    }

    /// What `find_origin` finds, and whether the store was read.
    std::optional<std::string> find_origin(std::size_t number, const model_stream& stream) {
        const bool is_store_read = this->read(number);
        const model_host& host = this->hosts[number];
        if (this->plan->rules.may_skip_journal && is_store_read && host.stored &&
            decision::versions_in(host.stored->history).size() == 1) {
            const auto unrecorded = this->find_unrecorded(host, stream.content);
            if (unrecorded && unrecorded->size() == 1)
                return unrecorded->begin()->software_version;
        }
        if (stream.is_named)
            for (const model_host& other : this->hosts)
                if (const auto known = other.origins.find(stream.id);
                    known != other.origins.end() && known->second.expires > this->now)
                    return known->second.version;
        if (!is_store_read)
            return std::nullopt;
        const std::uint64_t id = stream.is_named ? stream.id : 0;
        const auto recorded = this->read_journal(number, keys_of(id, stream.content));
        if (!recorded)
            return std::nullopt;
        const auto resolved = host::resolve_origin({.unrecorded = this->find_unrecorded(host, stream.content),
                                                    .recorded = *recorded,
                                                    .is_named = stream.is_named});
        return resolved ? std::optional(resolved->software_version) : std::nullopt;
    }

    void count_return(const model_stream& stream, std::size_t number, bool has_gone_on) {
        const auto count = [&](return_count& counted) {
            ++counted.returns;
            counted.gone_on += has_gone_on ? 1 : 0;
        };
        count(stream.is_named ? this->result.named : this->result.unnamed);
        const bool is_after_loss = stream.begun < this->lost_all_at;
        if (is_after_loss && this->reaches_store(number) &&
            this->is_listed(this->hosts[number], stream.version))
            count(stream.is_named ? this->result.named_after_loss : this->result.unnamed_after_loss);
        if (is_after_loss && this->reaches_store(number) && stream.is_named &&
            this->is_listed(this->hosts[number], stream.version))
            count(this->result.named_after_loss_by_begin[stream.how.substr(0, stream.how.find(','))]);
    }

    void return_to(const model_stream& stream) {
        const auto number = this->plan->returning_to ? this->plan->returning_to : this->any_host();
        if (!number) {
            this->plan_return(stream);
            return;
        }
        const auto found = this->find_origin(*number, stream);
        const bool goes_on = found && this->is_listed(this->hosts[*number], *found);
        this->count_return(stream, *number, goes_on);
        if (goes_on && *found != stream.version) {
            ++this->result.wrong;
            this->result.wrong_streams.push_back(
                "begun at " + std::to_string(stream.begun.count()) + " ms, " + stream.version + " (" +
                stream.how + "), " + (stream.is_named ? "named" : "unnamed") + ", went on at " +
                std::to_string(this->now.count()) + " ms, " + *found + ", host " + std::to_string(*number) +
                ", splits " + gateway::encode_splits(*this->hosts[*number].stored));
            return;
        }
        if (goes_on) {
            model_request request{.id = ++this->stream_count,
                                  .content = stream.content,
                                  .lifetime = this->record_lifetime(),
                                  .origin = *found};
            (void)this->prepare(*number, request, *found);
            this->record_at_hosts(*number, stream);
        }
        if (this->happens(0.5))
            this->plan_return(stream);
    }

    // Losses.

    void kill(const host_loss& loss) {
        for (const std::size_t number : loss.hosts) {
            const int starts = this->hosts[number].starts + 1;
            this->hosts[number] = {};
            this->hosts[number].is_alive = false;
            this->hosts[number].starts = starts;
        }
        if (std::ranges::none_of(this->hosts, [](const model_host& host) { return host.is_alive; }))
            this->lost_all_at = this->now;
    }
    void restart(const host_loss& loss) {
        for (const std::size_t number : loss.hosts)
            this->hosts[number].is_alive = true;
    }

    const split_plan* plan;
    std::mt19937_64 random;
    std::vector<model_host> hosts;
    model_store store;
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    std::uint64_t stream_count = 0;
    milliseconds now{};
    milliseconds lost_all_at{-1};
    split_result result;
};

/// Draws releases of versions and faults.
class plan_maker {
public:
    explicit plan_maker(std::uint64_t seed) : random(seed * 7919 + 1) {}

    split_plan make(std::uint64_t mix) {
        constexpr std::uint64_t all = 5;
        this->slots = {{"v1", 20}};
        if (this->happens(0.4))
            this->slots = {{"v1", 12}, {"v2", 8}};
        this->step(0ms);
        for (milliseconds at = this->between(5s, 15s); at < this->plan.length; at += this->between(3s, 25s))
            at = this->release(at);
        if (mix == 1 || mix == all) {
            this->plan.lost_answers = 0.05;
            this->plan.late_appends = 0.05;
        }
        if (mix == 2 || mix == all)
            for (milliseconds at = this->between(5s, 20s); at < this->plan.length;
                 at += this->between(10s, 30s))
                this->plan.outages.push_back({.begin = at, .end = at + this->between(300ms, 8s)});
        if (mix == 3 || mix == all)
            for (milliseconds at = this->between(5s, 15s); at < this->plan.length;
                 at += this->between(5s, 20s))
                this->plan.outages.push_back(
                    {.begin = at, .end = at + this->between(1s, 50s), .hosts = {this->any_host()}});
        if (mix == 4 || mix == all) {
            this->plan.failed_runs = 0.05;
            this->plan.forwarded = 0.3;
        }
        // Where few callers return, hosts read the store only for themselves.
        if (this->happens(0.5))
            this->plan.returning = 0.1;
        this->add_losses();
        return this->plan;
    }

private:
    milliseconds between(milliseconds low, milliseconds high) {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(this->random));
    }
    bool happens(double probability) { return std::bernoulli_distribution(probability)(this->random); }
    std::size_t any_host() {
        return std::uniform_int_distribution<std::size_t>(0, this->plan.hosts - 1)(this->random);
    }
    void step(milliseconds at) { this->plan.registry.push_back({.at = at, .slots = this->slots}); }

    /// Moves all or some slots to a new version, or takes some away for a while; returns when it is done.
    milliseconds release(milliseconds at) {
        const auto before = this->slots;
        if (this->happens(0.4)) {
            // Engines of one version restart and come back one by one.
            std::uint32_t& slots_left = this->slots.begin()->second;
            const std::uint32_t all_slots = slots_left;
            slots_left = this->happens(0.5) ? 0 : all_slots / 2;
            this->step(at);
            while (slots_left < all_slots) {
                at += this->between(50ms, 900ms);
                slots_left = std::min(slots_left + 4, all_slots);
                this->step(at);
            }
            return at;
        }
        const std::string version = "v" + std::to_string(++this->newest);
        const std::uint32_t moved = this->happens(0.3) ? 6 : 20;
        const milliseconds pace = this->happens(0.5) ? 100ms : 1500ms;
        for (std::uint32_t count = 0; count < moved; count += 2) {
            this->move(version);
            this->step(at);
            at += pace;
        }
        if (this->happens(0.3)) {
            at += this->between(200ms, 5s);
            this->slots = before;
            this->step(at);
        }
        return at;
    }

    void move(const std::string& version) {
        const auto from = std::ranges::find_if(
            this->slots, [&](const auto& item) { return item.first != version && item.second > 0; });
        if (from == this->slots.end())
            return;
        from->second -= std::min<std::uint32_t>(from->second, 2);
        this->slots[version] += 2;
        if (from->second == 0 && this->happens(0.7))
            this->slots.erase(from);
    }

    void add_losses() {
        for (milliseconds at = this->between(8s, 14s); at < this->plan.length; at += this->between(8s, 20s)) {
            host_loss loss{.begin = at, .end = at + this->between(300ms, 2s)};
            const bool is_all = this->happens(0.6);
            for (std::size_t number = 0; number < this->plan.hosts; ++number)
                if (is_all || this->happens(0.4))
                    loss.hosts.push_back(number);
            this->plan.losses.push_back(loss);
        }
    }

    std::mt19937_64 random;
    split_plan plan;
    std::map<std::string, std::uint32_t> slots;
    int newest = 2;
};

} // namespace

split_plan make_split_plan(std::uint64_t seed) {
    constexpr std::uint64_t mixes = 6;
    return plan_maker(seed).make(seed % mixes);
}

split_result run_splits(const split_plan& plan, std::uint64_t seed) { return model(plan, seed).run(); }

} // namespace postpaddle::test
