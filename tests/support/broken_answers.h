// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <support/scripted_server.h>

#include <string>
#include <vector>

namespace postpaddle::test {

/// The head of a server's answer with its seal, and these further fields.
[[nodiscard]] std::string sealed_head(const std::string& status, const std::string& more = "",
                                      const char* version = "HTTP/1.1");

/// What an answer was sent to.
enum class request_size {
    small, ///< The server has the whole request.
    large, ///< A part of the request is still being sent when the answer comes.
};

/// The body of such a request.
[[nodiscard]] std::string request_body(request_size size);

/// An answer, or what stands in its place.
struct answer_kind {
    std::string name;
    scripted_answer answer;
    request_size request = request_size::small;

    bool operator==(const answer_kind&) const = default;
};

/// The body of an answer that is hidden within another one. No client may get it.
inline constexpr const char* hidden_body = "hidden answer";
/// The whole body of each sound answer.
[[nodiscard]] std::string sound_body();

/// Answers that end before their end, or are none in the protocol.
[[nodiscard]] std::vector<answer_kind> broken_answers();
/// Whole answers that resemble those.
[[nodiscard]] std::vector<answer_kind> sound_answers();

} // namespace postpaddle::test
