// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/blocking_client.h>
#include <harness/cluster.h>

#include <functional>
#include <string>
#include <vector>

namespace postpaddle::test {

/// Keys of the two organisations of `cluster_document`.
inline constexpr const char* left_key = "left-key";
inline constexpr const char* right_key = "right-key";

/// A small cluster: two prefill and two decode engines, one plain service, behind the fault proxy.
[[nodiscard]] stand_in::cluster_options small_cluster(const std::string& name, int hosts = 1);

/// Operators' document for it.
[[nodiscard]] std::string cluster_document();

/// Prompt of about that many tokens that no other test uses.
[[nodiscard]] std::string make_prompt(const std::string& name, int tokens = 400);

/// A streamed completion request.
[[nodiscard]] wire::http_request completion(const std::string& prompt, int max_tokens,
                                            bool is_streamed = true, const std::string& key = left_key);

/// Joined text of a stream's token events.
[[nodiscard]] std::string streamed_text(const std::string& body);

/// A fresh version 7 UUID.
[[nodiscard]] std::string fresh_uuid7();

/// Waits until the condition holds; false when it has not after 20 seconds.
[[nodiscard]] bool eventually(const std::function<bool()>& condition);

/// Opens a connection, sends the bytes and gives all that comes back until the other side closes.
[[nodiscard]] std::string raw_exchange(const std::string& address, const std::string& bytes);

/// A request in progress on a connection of its own, which the test can drop.
class open_call {
public:
    open_call(const std::string& address, const wire::http_request& request);
    /// Sends bytes that may be part of a request.
    open_call(const std::string& address, const std::string& bytes);
    ~open_call();
    open_call(const open_call&) = delete;
    open_call(open_call&&) = delete;
    open_call& operator=(const open_call&) = delete;
    open_call& operator=(open_call&&) = delete;

    /// Sends more bytes.
    void send(const std::string& bytes) const;
    /// Reads until at least so many bytes have come; gives all so far.
    std::string read_at_least(std::size_t bytes);
    /// Reads to the end.
    std::string read_all();
    /// Drops the connection.
    void drop();

private:
    int descriptor = -1;
    std::string received;
};

} // namespace postpaddle::test
