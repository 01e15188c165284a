// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/settings_log.h>
#include <wire/asio.h>
#include <wire/log_client.h>

#include <tl/expected.hpp>

#include <chrono>
#include <string>

namespace postpaddle::utility {

/// Where settings are published to and how long that may take.
struct publish_options {
    std::string log_address;
    std::string author;
    std::chrono::milliseconds limit{10'000};
};

/// Reads the settings stream to its end; the error says why that failed.
[[nodiscard]] tl::expected<settings::settings_state, std::string>
read_settings(const publish_options& options);

/// Appends a change and waits for its own verdict. An answer that is lost is made good by reading the
/// change back; it is appended again only once the log surely does not have it.
[[nodiscard]] tl::expected<settings::change_verdict, std::string> publish(const publish_options& options,
                                                                          settings::settings_record record);

} // namespace postpaddle::utility
