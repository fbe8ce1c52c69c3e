#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// One line of a process's log, built up as a JSON object.
class log_line
{
public:
    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, const char* value);
    log_line& add(std::string_view key, std::int64_t value);
    log_line& add(std::string_view key, std::uint64_t value);
    log_line& add(std::string_view key, std::uint32_t value);
    log_line& add(std::string_view key, bool value);

    /// The members, each begun with a comma.
    const std::string& members() const;

private:
    std::string members_;
};

/// Writes decisions and beliefs to standard output, one JSON object a line.
/// Never blocks: what can't be written at once waits in a bounded buffer, and
/// what does not fit is dropped, counted and reported. Lines of one name are
/// limited by second. Not safe for several threads.
class event_log
{
public:
    struct limits
    {
        /// Lines of one name in a second.
        std::uint32_t lines_per_second = 100;
        std::size_t buffer_bytes = 256 * 1024;
    };

    /// `descriptor` is made non-blocking; the caller keeps it open.
    event_log(std::string node, int descriptor, limits bounds);

    /// Writes a line with time, node, part and event. A `reason` and the like
    /// are members of `line`.
    void
    write(std::string_view part, std::string_view event, const log_line& line);

    /// Writes what waits, as far as that is possible at once.
    void flush();
    bool has_waiting() const;
    std::uint64_t dropped() const;

private:
    struct budget
    {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t left_out = 0;
    };

    std::string node_;
    int descriptor_;
    limits limits_;
    std::string waiting_;
    std::map<std::string, budget, std::less<>> budgets_;
    std::uint64_t dropped_ = 0;
};

} // namespace dandeliontack
