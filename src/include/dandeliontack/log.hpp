#pragma once

#include <memory>
#include <sstream>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// Sends all log lines to standard error, one a line with time, level and the
/// part's prefix. `level` is one of debug, info, warn, error. Call once.
void start_logging(std::string_view level);

/// The log of one part of the program. Every line carries the part's prefix.
class part_log
{
public:
    /// `part` is the prefix, such as `entry.router`.
    explicit part_log(std::string_view part);

    template <class... Args>
    void debug(const Args&... args) const
    {
        if (enabled(severity::debug))
            write(severity::debug, join(args...));
    }
    template <class... Args>
    void info(const Args&... args) const
    {
        if (enabled(severity::info))
            write(severity::info, join(args...));
    }
    template <class... Args>
    void warn(const Args&... args) const
    {
        write(severity::warn, join(args...));
    }
    template <class... Args>
    void error(const Args&... args) const
    {
        write(severity::error, join(args...));
    }

private:
    enum class severity
    {
        debug,
        info,
        warn,
        error
    };
    struct backend;

    template <class... Args>
    static std::string join(const Args&... args)
    {
        std::ostringstream text;
        (text << ... << args);
        return text.str();
    }
    bool enabled(severity level) const;
    void write(severity level, const std::string& text) const;

    std::shared_ptr<backend> backend_;
};

} // namespace dandeliontack
