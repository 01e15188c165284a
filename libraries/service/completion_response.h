// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>
#include <wire/engine_adapter.h>

#include <string>
#include <string_view>

namespace postpaddle::service {

/// Builds the response to the caller from a decode engine's events, either streamed or as one JSON body.
class completion_response {
public:
    explicit completion_response(request_context& context) : context(&context) {}

    /// Sets the engine names for the `Postpaddle-Prefill` and `Postpaddle-Decode` headers.
    void set_engines(const std::string& prefill, const std::string& decode);
    /// Adds an event of the attempt. Data of a streamed response is buffered until `flush`.
    void add_event(const wire::decode_event& event, std::string_view data, const std::string& attempt_id);
    /// Sends buffered data of a streamed response. Returns false once the caller has disconnected.
    [[nodiscard]] bool flush();
    /// Completes the response. Returns false if the caller has disconnected.
    [[nodiscard]] bool finish(wire::yield_context yield);

    /// Text and tokens received so far, from which another engine can resume the generation.
    [[nodiscard]] const wire::resume_point& position() const { return this->progress; }
    [[nodiscard]] bool is_finished() const { return this->has_received_finish; }

private:
    [[nodiscard]] wire::http_headers headers() const;
    [[nodiscard]] std::string complete_body() const;

    request_context* context;
    wire::resume_point progress;
    std::string pending;
    std::string prefill_name;
    std::string decode_name;
    std::string finish_reason;
    bool has_received_finish = false;
};

} // namespace postpaddle::service
