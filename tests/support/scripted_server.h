// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace postpaddle::test {

/// What a server does with the connection once its answer has been delivered.
enum class connection_ending {
    close,              ///< Closes its side in order, then reads what the client still sends.
    close_after_upload, ///< Reads the request to its end, then closes in order.
    close_then_reset,   ///< Closes its side in order, then resets the connection without reading any more.
    reset,              ///< Resets the connection without reading any more.
    none,               ///< Neither reads nor closes.
};

[[nodiscard]] const char* to_text(connection_ending ending);

/// What a server sends, whatever the request is.
struct scripted_answer {
    /// Each part is delivered before the next one is sent. `@ID@` and `@INSTANCE@` stand for what the request
    /// names.
    std::vector<std::string> parts;
    connection_ending ending = connection_ending::close;

    bool operator==(const scripted_answer&) const = default;
};

/// A server that reads the head of a request, answers by a script, and ends the connection as that says. It
/// answers calls that name no request with status 404. Its clients must be gone before it is destroyed.
///
/// Its receive buffer is small, so that of a long body only a few kilobytes leave the client before it reads.
class scripted_server {
public:
    scripted_server();
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] std::string address() const;
    /// Sets the answer to requests for this instance, as which the server is addressed.
    void set_answer(const std::string& instance, scripted_answer answer);
    /// How often the request with this id has arrived.
    [[nodiscard]] int arrivals(const std::string& id);

private:
    using socket = wire::asio::ip::tcp::socket;

    void accept(const std::stop_token& stop);
    void serve(socket& connection);
    /// The answer to a request that has arrived now.
    [[nodiscard]] scripted_answer answer_to(const std::string& id, const std::string& instance);

    wire::asio::io_context context;
    wire::asio::ip::tcp::acceptor acceptor;
    std::mutex mutex;
    std::map<std::string, scripted_answer> answers; ///< By instance; under the mutex.
    std::map<std::string, int> arrivals_by_id;      ///< Under the mutex.
    std::vector<std::shared_ptr<socket>> opened;    ///< Of the accepting thread; none is closed unasked.
    std::jthread accepting;
};

/// Size of a request's body of which a part is still unsent, however much the kernel buffers, as long as the
/// server doesn't read it.
[[nodiscard]] std::size_t unsendable_bytes();

} // namespace postpaddle::test
