// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::test {

/// Events of a stream that its engines are to send in these tests.
inline constexpr int resumed_stream_length = 12;
/// Events that a caller receives before it leaves.
inline constexpr int events_before_leaving = 4;

/// The complete events of a stream or of a part of it.
struct received_events {
    std::set<std::string> versions;
    int last = 0;
    bool is_in_order = true;
};

/// Parses events that each name the software version which made them.
[[nodiscard]] received_events parse_events(const std::string& text, int last_before = 0);

/// Whether a caller that returns names the attempt which brought its first event.
enum class attempt_naming { named, unnamed };

struct resumable_caller_options {
    std::string name;   ///< Id of its first attempt.
    std::string body{}; ///< Empty: one that no other caller sends.
    /// For how long a caller that is answered with 503 comes again, each time after `Retry-After`.
    std::chrono::milliseconds patience{};
};

/// A caller's stream over several attempts.
class resumable_caller {
public:
    explicit resumable_caller(resumable_caller_options options);

    /// Starts the stream and reads some events. Returns false if there is another answer, or an end before
    /// them.
    bool begin(const std::string& address);
    void leave();
    /// Returns to a host, and names the attempt that it resumes unless that is empty. Returns the status of
    /// the last answer, 0 if there is none.
    int resume(const std::string& address, const std::string& resumed);

    /// Id of the attempt that began the stream.
    [[nodiscard]] const std::string& id() const { return this->request_id; }
    /// The last answer that began no stream.
    [[nodiscard]] const std::string& refusal() const { return this->refusal_text; }
    [[nodiscard]] const received_events& received() const { return this->events; }
    /// Whether the caller has each event once, up to the last.
    [[nodiscard]] bool is_complete() const;
    /// Whether its stream began at that software version.
    [[nodiscard]] bool began_at(const std::string& version) const;

private:
    bool try_begin(const std::string& address);
    [[nodiscard]] wire::http_request request_with_id(const std::string& id) const;

    resumable_caller_options options;
    std::unique_ptr<client_connection> connection;
    std::string request_id; ///< Of the attempt that begins the stream.
    std::string refusal_text;
    received_events events;
    std::set<std::string> versions_at_start;
    int returns = 0;
};

using resumable_callers = std::vector<std::unique_ptr<resumable_caller>>;

/// Outcome of a number of streams.
struct stream_counts {
    int mixed = 0;    ///< Streams with events of two versions.
    int complete = 0; ///< Streams without gap or repetition up to the last event.
    int refused = 0;  ///< Resumed streams answered with 503.
};

void count(stream_counts& counts, const resumable_caller& caller, int status = 200);

/// Engines of two software versions; the events of each name its version.
[[nodiscard]] std::vector<server_plan> engines_of_two_versions();

/// Waits until each host knows all others.
void await_peers(const gateway_cluster& cluster, int hosts);

/// How streams are begun.
struct stream_plan {
    std::vector<int> hosts = {1}; ///< Hosts that the callers come to, in turn.
    int number = 24;
    std::string name; ///< Prefix of the ids.
    int alike = 0;    ///< Number of different bodies; 0: each caller has an own one.
    std::chrono::milliseconds patience{};
};

/// Begins streams at the same time.
[[nodiscard]] resumable_callers begin_streams(const gateway_cluster& cluster, const stream_plan& plan);

void leave_all(const resumable_callers& callers);

/// Resumes the streams at the hosts in turn, all at the same time.
stream_counts resume_streams(const gateway_cluster& cluster, const resumable_callers& callers,
                             const std::vector<int>& hosts, attempt_naming naming = attempt_naming::named);

} // namespace postpaddle::test
