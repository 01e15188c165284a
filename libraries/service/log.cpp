// SPDX-License-Identifier: BSD-2-Clause
#include <service/log.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace postpaddle::service {

namespace {

log4cxx::LoggerPtr logger() {
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("postpaddle");
    return instance;
}

std::string& host_name() {
    static std::string name;
    return name;
}

void write(const log4cxx::LevelPtr& level, const std::string& event, const log_fields& fields) {
    if (!logger()->isEnabledFor(level))
        return;
    log4cxx::MDC::put("host", host_name());
    for (const auto& [name, value] : fields)
        log4cxx::MDC::put(name, value);
    logger()->log(level, event);
    log4cxx::MDC::clear();
}

} // namespace

void configure_logging(const std::string& level, const std::string& host) {
    host_name() = host;
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void log_info(const std::string& event, const log_fields& fields) {
    write(log4cxx::Level::getInfo(), event, fields);
}

void log_warning(const std::string& event, const log_fields& fields) {
    write(log4cxx::Level::getWarn(), event, fields);
}

} // namespace postpaddle::service
