// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>
#include <wire/engine_adapter.h>

#include <string>
#include <string_view>

namespace postpaddle::service {

/// Builds the caller's answer from a decode engine's events: passed on as a stream, or gathered whole.
class completion_answer {
public:
    explicit completion_answer(request_context& context) : context(&context) {}

    /// Which engines serve the answer, as its headers name them.
    void set_engines(const std::string& prefill, const std::string& decode);
    /// Takes one event of the attempt; what the caller should see is kept until `flush`.
    void take(const wire::decode_event& event, std::string_view data, const std::string& attempt_id);
    /// Passes on what was taken; false once the caller has gone.
    [[nodiscard]] bool flush();
    /// Ends the answer; false when the caller has gone.
    [[nodiscard]] bool finish(wire::yield_context yield);

    /// Where the answer stands, for a stream that goes on at another engine.
    [[nodiscard]] const wire::resume_point& position() const { return this->reached; }
    [[nodiscard]] bool is_finished() const { return this->has_finish; }

private:
    [[nodiscard]] wire::http_headers headers() const;
    [[nodiscard]] std::string whole_body() const;

    request_context* context;
    wire::resume_point reached;
    std::string pending;
    std::string prefill_name;
    std::string decode_name;
    std::string finish_reason;
    bool has_finish = false;
};

} // namespace postpaddle::service
