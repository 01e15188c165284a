// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <map>
#include <string>

namespace postpaddle::service {

/// Additional fields of a log line, by name.
using log_fields = std::map<std::string, std::string>;

/// Configures logging to standard error, one JSON object per line.
void configure_logging(const std::string& level, const std::string& host);

/// Logs an expected change of state.
void log_info(const std::string& event, const log_fields& fields = {});
/// Logs a change of state that operators should look into.
void log_warning(const std::string& event, const log_fields& fields = {});

} // namespace postpaddle::service
