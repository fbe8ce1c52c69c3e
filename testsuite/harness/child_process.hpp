#pragma once

#include <dandeliontack/endpoint.hpp>

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// A program under test. Its standard error goes to a file, its standard
/// output is read for the lines that announce its addresses. The destructor
/// kills it.
class child_process
{
public:
    /// `program` is relative to the build folder.
    child_process(
        const std::string& program, const std::vector<std::string>& arguments,
        const std::filesystem::path& error_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// The address that the program announced under a name. Throws
    /// `std::runtime_error` if it ends or takes too long before.
    endpoint address_of(const std::string& name);

    void send_signal(int number) const;

    /// Waits for the end; the exit code, or the negative number of the
    /// signal that ended it, or nothing if it still runs after `limit`.
    std::optional<int> wait_exit(std::chrono::milliseconds limit);

    /// Everything that it printed to standard output until its end.
    std::string read_output();

    pid_t pid() const
    {
        return pid_;
    }

private:
    bool read_more(std::chrono::milliseconds limit);

    pid_t pid_ = -1;
    int output_ = -1;
    std::string printed_;
};

/// Result of a program that was run to its end.
struct program_result
{
    int exit_code = -1;
    std::string output;
    std::string errors;
};

/// Runs a program to its end, at most a minute.
program_result run_program(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::filesystem::path& error_file);

} // namespace dandeliontack::harness
