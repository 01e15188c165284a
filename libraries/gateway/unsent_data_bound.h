// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/overload/unsent_bytes.h>
#include <gateway/gateway_request.h>

#include <cstdint>
#include <list>
#include <optional>
#include <string>

namespace postpaddle::gateway {

/// Limit of this process's control group (version 2), as the process sees it in a container.
inline constexpr const char* cgroup_memory_limit_path = "/sys/fs/cgroup/memory.max";

/// Smallest limit on the memory that this process maps (`RLIMIT_AS`, `RLIMIT_DATA`); nullopt if there is
/// none.
[[nodiscard]] std::optional<std::uint64_t> mapped_memory_limit();

/// Connections whose coroutines' stacks, which are mapped in full, leave half of the mapped memory free; at
/// most `connections`.
[[nodiscard]] std::size_t connections_within(std::size_t connections,
                                             std::optional<std::uint64_t> mapped_bytes);

/// Smallest limit on the memory of this process (`RLIMIT_AS`, `RLIMIT_DATA`, control group); nullopt if there
/// is none. A file that is missing or contains no number, such as `max`, is no limit.
[[nodiscard]] std::optional<std::uint64_t>
process_memory_limit(const std::string& cgroup_path = cgroup_memory_limit_path);

/// Bounds the response data that the host buffers for the callers of all requests in progress together.
///
/// Each connection bounds its own. Beyond the bound of the host, callers that have been behind for
/// `decision::min_time_behind` are disconnected at once, which ends their work at upstreams; see
/// `decision::readers_to_disconnect`. Nothing waits for a reader, so reading from upstreams goes on for all
/// other requests.
class unsent_data_bound {
    struct reader {
        gateway_request* request = nullptr;
        std::uint64_t bytes = 0; ///< As last seen.
    };

public:
    /// Accounts for a request's unsent data while it exists.
    class scoped_reader {
    public:
        scoped_reader(unsent_data_bound& owner, gateway_request& request);
        scoped_reader(const scoped_reader&) = delete;
        scoped_reader(scoped_reader&&) = delete;
        scoped_reader& operator=(const scoped_reader&) = delete;
        scoped_reader& operator=(scoped_reader&&) = delete;
        ~scoped_reader();

    private:
        unsent_data_bound* owner;
        std::list<reader>::iterator position;
    };

    unsent_data_bound(gateway_state& state, std::uint64_t bound);

    /// Unsent data of all requests in progress, in bytes.
    [[nodiscard]] std::uint64_t unsent_bytes() const { return this->total; }
    [[nodiscard]] std::uint64_t bound() const { return this->host_bound; }

private:
    void did_change(reader& changed);
    void enforce_bound();
    void disconnect(gateway_request& request, const decision::unsent_reader& facts,
                    const decision::unsent_sums& sums, base::time_point now);

    gateway_state* state;
    std::uint64_t host_bound;
    std::list<reader> readers;
    std::uint64_t total = 0; ///< Sum over `readers`.
    /// No reader can be chosen before this time: spares a search for each change meanwhile.
    base::time_point next_choice{};
    bool is_enforcing = false;
};

} // namespace postpaddle::gateway
