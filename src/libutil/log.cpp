#include <dandeliontack/log.hpp>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr std::array<std::pair<std::string_view, int>, 4> levels{{
    {"debug", log4cxx::Level::DEBUG_INT},
    {"info", log4cxx::Level::INFO_INT},
    {"warn", log4cxx::Level::WARN_INT},
    {"error", log4cxx::Level::ERROR_INT},
}};

} // namespace

struct part_log::backend
{
    log4cxx::LoggerPtr logger;
};

void start_logging(std::string_view level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    const auto* known = std::ranges::find(
        levels, level, &std::pair<std::string_view, int>::first);
    log4cxx::Logger::getRootLogger()->setLevel(
        known == levels.end() ? log4cxx::Level::getInfo()
                              : log4cxx::Level::toLevel(known->second));
}

part_log::part_log(std::string_view part)
    : backend_(std::make_shared<backend>(
          backend{log4cxx::Logger::getLogger(std::string(part))}))
{}

bool part_log::enabled(severity level) const
{
    return level == severity::debug ? backend_->logger->isDebugEnabled()
                                    : backend_->logger->isInfoEnabled();
}

void part_log::write(severity level, const std::string& text) const
{
    switch (level)
    {
    case severity::debug:
        LOG4CXX_DEBUG(backend_->logger, text);
        break;
    case severity::info:
        LOG4CXX_INFO(backend_->logger, text);
        break;
    case severity::warn:
        LOG4CXX_WARN(backend_->logger, text);
        break;
    case severity::error:
        LOG4CXX_ERROR(backend_->logger, text);
        break;
    }
}

} // namespace dandeliontack
