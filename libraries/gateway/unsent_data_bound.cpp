// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/unsent_data_bound.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>

#include <sys/resource.h>

namespace postpaddle::gateway {

namespace {

constexpr const char* disconnect_reason = "the caller read too slowly";

std::optional<std::uint64_t> read_limit(const std::string& path) {
    std::ifstream file(path);
    std::uint64_t bytes = 0;
    if (!(file >> bytes))
        return std::nullopt;
    return bytes;
}

} // namespace

std::optional<std::uint64_t> mapped_memory_limit() {
    std::optional<std::uint64_t> smallest;
    for (const auto resource : std::array{RLIMIT_AS, RLIMIT_DATA}) {
        rlimit limit{};
        if (getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
            smallest = std::min<std::uint64_t>(smallest.value_or(limit.rlim_cur), limit.rlim_cur);
    }
    return smallest;
}

std::optional<std::uint64_t> process_memory_limit(const std::string& cgroup_path) {
    const auto resident = read_limit(cgroup_path);
    const auto mapped = mapped_memory_limit();
    if (!resident || !mapped)
        return resident ? resident : mapped;
    return std::min(*resident, *mapped);
}

std::size_t connections_within(std::size_t connections, std::optional<std::uint64_t> mapped_bytes) {
    static constexpr std::uint64_t part_for_stacks = 2;
    if (!mapped_bytes)
        return connections;
    return std::min<std::size_t>(connections, *mapped_bytes / part_for_stacks / wire::coroutine_stack_bytes);
}

unsent_data_bound::unsent_data_bound(gateway_state& state, std::uint64_t bound)
    : state(&state), host_bound(bound) {}

unsent_data_bound::scoped_reader::scoped_reader(unsent_data_bound& owner, gateway_request& request)
    : owner(&owner), position(owner.readers.insert(owner.readers.end(), reader{&request})) {
    request.connection->watch_unsent([&owner, position = this->position] { owner.did_change(*position); });
}

unsent_data_bound::scoped_reader::~scoped_reader() {
    this->position->request->connection->watch_unsent(nullptr);
    this->owner->total -= this->position->bytes;
    this->owner->readers.erase(this->position);
}

void unsent_data_bound::did_change(reader& changed) {
    const std::uint64_t bytes = changed.request->connection->unsent().bytes;
    this->total += bytes;
    this->total -= std::exchange(changed.bytes, bytes);
    if (this->total > this->host_bound && !this->is_enforcing)
        this->enforce_bound();
}

void unsent_data_bound::enforce_bound() {
    const base::time_point now = this->state->clock->now();
    if (now < this->next_choice)
        return;
    std::vector<gateway_request*> requests;
    std::vector<decision::unsent_reader> facts;
    for (const reader& each : this->readers) {
        if (each.bytes == 0)
            continue;
        requests.push_back(each.request);
        const auto* const organisation = each.request->organisation;
        facts.push_back({.organisation = organisation == nullptr ? base::organisation_id{} : organisation->id,
                         .bytes = each.bytes,
                         .behind_since = each.request->connection->unsent().since});
    }
    const decision::unsent_sums sums = decision::sum_unsent(facts);
    // Disconnecting a caller changes its unsent data, which calls back into this object.
    this->is_enforcing = true;
    for (const std::size_t index : decision::readers_to_disconnect(facts, this->host_bound, now))
        this->disconnect(*requests[index], facts[index], sums, now);
    this->is_enforcing = false;
    if (this->total > this->host_bound)
        this->next_choice = decision::next_candidate_at(facts, now);
}

void unsent_data_bound::disconnect(gateway_request& request, const decision::unsent_reader& facts,
                                   const decision::unsent_sums& sums, base::time_point now) {
    this->state->metrics->count("slow_readers_disconnected_total");
    this->state->log->write(
        "slow_reader_disconnected",
        {{"request", request.routed.id},
         {"organisation", facts.organisation.value},
         {"unsent_bytes", facts.bytes},
         {"behind_ms", base::to_milliseconds(now - facts.behind_since)},
         {"organisation_bytes", sums.at(facts.organisation)},
         {"organisation_bound", decision::organisation_unsent_bound(sums, this->host_bound)},
         {"host_bytes", this->total},
         {"host_bound", this->host_bound}});
    request.reason = disconnect_reason;
    request.connection->disconnect();
}

} // namespace postpaddle::gateway
