// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>
#include <gateway/upstreams/stall_monitor.h>
#include <wire/http_client.h>

#include <memory>
#include <optional>
#include <string>

namespace postpaddle::gateway {

/// Result of one send to an upstream, up to the head of its answer.
struct exchange_result {
    decision::attempt_result result = decision::attempt_result::not_connected;
    /// Of the upstream's answer. Set if the result is `answered`, `not_run` or `server_error`.
    std::optional<wire::response_head> head;
    ports::answer_facts facts;
    std::shared_ptr<wire::upstream_connection> connection; ///< Reads the rest of the answer.
    std::string address;
    std::uint64_t start_time_ms = 0; ///< Start of the upstream that the request was sent to.
    std::string software_version;    ///< Of that start; empty if unknown.
    base::time_point sent{};
    base::duration registry_age{};      ///< Age of this host's copy of the registry at the send.
    std::uint64_t entry_offset = 0;     ///< Registry record on which the send relied.
    decision::listing listing{};        ///< Of the upstream at the send.
    bool is_port_closed = false;        ///< Nothing listens at the address.
    bool is_withheld = false;           ///< Not sent: placement limits forbid it now, or it is no request.
    bool is_protocol_violation = false; ///< The upstream sent bytes that are no answer, or too many.
    wire::collected_body held;          ///< Accounts for the answer's body for as long as it is kept.
    std::string detail;                 ///< For the log.
    stall_record stalls{};              ///< Of this send.

    /// For the log; 0 without an answer.
    [[nodiscard]] int logged_status() const { return this->head ? this->head->status : 0; }
};

/// Until when to wait for an answer, and what decides on the end of that.
struct answer_wait {
    base::time_point deadline{};
    /// Is asked at the deadline, and told when the request is sent and when the answer begins; may be null.
    stall_monitor* monitor = nullptr;
};

/// Has the monitor decide on the deadlines of the connection's exchange; null ends that.
void set_monitor(wire::upstream_connection& connection, stall_monitor* monitor);

/// Accounts for this host's work at an instance for as long as the object lives.
class scoped_instance_use {
public:
    scoped_instance_use(gateway_state& state, base::upstream_id instance, const decision::instance_use& use);
    scoped_instance_use(const scoped_instance_use&) = delete;
    scoped_instance_use(scoped_instance_use&&) = delete;
    scoped_instance_use& operator=(const scoped_instance_use&) = delete;
    scoped_instance_use& operator=(scoped_instance_use&&) = delete;
    ~scoped_instance_use();

    /// Releases the share of the work that the prompt accounted for.
    void did_read_prompt();
    /// Raises the memory used to at least this. Other hosts learn of it with the next load report.
    void grow_memory(double memory_tokens);

private:
    void announce_change() const;
    /// Returns null if the instance is gone or has been restarted.
    [[nodiscard]] decision::instance* find_target() const;

    gateway_state* state;
    base::upstream_id instance;
    std::uint64_t start_time_ms = 0; ///< Start (incarnation) of the instance that the work was sent to.
    decision::instance_use use;
};

/// Sends the request to one instance and reads the head of its answer, skipping answers to other requests.
[[nodiscard]] exchange_result send_to_instance(gateway_request& request, const ports::upstream_attempt& send,
                                               answer_wait wait, wire::yield_context yield);

/// Reads the rest of an answer of at most that size. On failure, sets the exchange's result and returns an
/// empty string. An answer whose head says that the request has not run stays one.
[[nodiscard]] std::string read_body(exchange_result& exchange, std::size_t max_bytes,
                                    base::time_point deadline, wire::yield_context yield);

/// Sets the exchange's result after a failure and closes its connection.
void record_failure(exchange_result& exchange, const wire::wire_error& error);

/// Finishes an exchange: returns the connection to the pool, updates the instance's health and load, and
/// records the send for the log. A prefill is not counted as a send of the request.
void end_exchange(gateway_request& request, const ports::upstream_attempt& send, exchange_result& exchange);

} // namespace postpaddle::gateway
