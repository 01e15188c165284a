// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/settings_log.h>
#include <wire/asio.h>
#include <wire/log_client.h>

#include <tl/expected.hpp>

#include <chrono>
#include <string>

namespace postpaddle::utility {

/// Log that settings are published to, and the time limit.
struct publish_options {
    std::string log_address;
    std::string author;
    std::chrono::milliseconds timeout{10'000};
};

/// Reads the settings stream to its end and returns the resulting state.
[[nodiscard]] tl::expected<settings::settings_state, std::string>
read_settings(const publish_options& options);

/// Appends a change and returns its verdict. If the response to an append is lost, the stream is read back,
/// and the change is appended again only if the log does not contain it.
[[nodiscard]] tl::expected<settings::change_verdict, std::string> publish(const publish_options& options,
                                                                          settings::settings_record record);

} // namespace postpaddle::utility
