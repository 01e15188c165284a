// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/quarantine.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace postpaddle::service {

/// Requests under which upstreams end, shared by the workers, who see them end, and the control thread, which
/// tells the other hosts and hears from them.
class quarantine_board {
public:
    /// How much longer a request is not to be sent; nothing where it may be.
    [[nodiscard]] std::optional<base::duration> held_for(const host::request_fingerprint& request,
                                                         base::time_point now) const;
    /// An upstream has ended under a request, before anything of an answer came.
    void did_end_under(const host::request_fingerprint& request, host::instance_key upstream,
                       base::time_point now);
    /// An upstream has answered a request whole and well.
    void did_end_well(const host::request_fingerprint& request, base::time_point now);
    /// Takes what another host told.
    void hear(const std::vector<host::suspect_report>& reports, base::time_point now);
    /// What to tell the other hosts, the most suspect first; forgets what is too old.
    [[nodiscard]] std::vector<host::suspect_report> reports_to_tell(base::time_point now);
    /// Whether something has become known since this was asked last.
    [[nodiscard]] bool take_news();

private:
    void take(const host::suspect_report& report, base::time_point now);
    void clear(const host::request_fingerprint& request, base::time_point now);

    mutable std::mutex mutex;
    host::quarantine_options options;
    host::quarantine table;
    /// Requests that others suspect and that have come to a good end here: until when that is told.
    std::map<host::request_fingerprint, base::time_point> cleared;
    bool has_news = false;
};

} // namespace postpaddle::service
