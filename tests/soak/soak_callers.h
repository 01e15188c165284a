// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <soak/keep_alive_client.h>
#include <soak/observations.h>
#include <soak/settings_journal.h>

#include <cstdint>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace postpaddle::soak {

/// Threads that send requests until they are told to stop. Each keeps its connection until it is gone, as
/// callers do who do not ask a balancer again, then opens one to any host.
class soak_callers {
public:
    struct options {
        std::uint64_t seed = 1;
        int count = 12;
        std::vector<std::string> hosts; ///< Their callers' addresses, from host 1 on.
        bool takes_up_streams = false;  ///< Whether most calls are streams that are taken up again.
        /// Whether every fourth body is as large as settings ever allow, and every other stream lasts
        /// seconds.
        bool has_large_requests = false;
        int max_refusals = std::numeric_limits<int>::max(); ///< Of a stream, before its caller gives it up.
    };

    explicit soak_callers(options callers_options);
    /// Waits until each caller's request has ended; returns all attempts.
    [[nodiscard]] std::vector<attempt> stop();

private:
    options callers_options;
    std::mutex mutex;
    std::vector<attempt> attempts;
    std::vector<std::jthread> threads;
};

/// A thread for each host that asks for routes of single versions of the settings.
class settings_probers {
public:
    settings_probers(const std::vector<std::string>& hosts, const settings_journal& journal);
    /// Returns the probes of all hosts.
    [[nodiscard]] std::vector<settings_probe> stop();

private:
    void run(int host, const std::string& address, const std::stop_token& stop);

    const settings_journal* journal;
    std::mutex mutex;
    std::vector<settings_probe> probes;
    std::vector<std::jthread> threads;
};

} // namespace postpaddle::soak
