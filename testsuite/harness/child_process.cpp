#include "child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace dandeliontack::harness
{

namespace
{

constexpr auto start_limit = std::chrono::seconds(20);
constexpr auto run_limit = std::chrono::seconds(60);
constexpr auto poll_interval = std::chrono::milliseconds(2);

[[noreturn]] void
exec_child(std::vector<std::string> words, int output, int errors)
{
    dup2(output, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    execv(argv.front(), argv.data());
    _exit(127);
}

} // namespace

child_process::child_process(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::filesystem::path& error_file)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("pipe failed");
    const int errors = open(
        error_file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    std::vector<std::string> words{TACK_BINARY_DIR "/" + program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    pid_ = fork();
    if (pid_ == 0)
        exec_child(std::move(words), ends[1], errors);
    close(ends[1]);
    close(errors);
    output_ = ends[0];
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      printed_(std::move(other.printed_))
{}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(printed_, other.printed_);
    return *this;
}

child_process::~child_process()
{
    if (pid_ > 0)
    {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    if (output_ >= 0)
        close(output_);
}

// Whether anything was read before the limit or the end.
bool child_process::read_more(std::chrono::milliseconds limit)
{
    pollfd waiting{output_, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(limit.count())) <= 0)
        return false;
    std::array<char, 4096> chunk{};
    const auto got = read(output_, chunk.data(), chunk.size());
    if (got <= 0)
        return false;
    printed_.append(chunk.data(), static_cast<std::size_t>(got));
    return true;
}

endpoint child_process::address_of(const std::string& name)
{
    const auto wanted = "listening " + name + " ";
    for (;;)
    {
        const auto at = printed_.find(wanted);
        const auto end = at == std::string::npos ? at : printed_.find('\n', at);
        if (end != std::string::npos)
        {
            const auto begin = at + wanted.size();
            return parse_endpoint(printed_.substr(begin, end - begin)).value();
        }
        if (!read_more(start_limit))
            throw std::runtime_error("no address announced for " + name);
    }
}

void child_process::send_signal(int number) const
{
    kill(pid_, number);
}

std::optional<int> child_process::wait_exit(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (pid_ > 0)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= until)
            return std::nullopt;
        std::this_thread::sleep_for(poll_interval);
    }
    return std::nullopt;
}

std::string child_process::read_output()
{
    while (read_more(run_limit))
    {
    }
    return printed_;
}

program_result run_program(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::filesystem::path& error_file)
{
    std::filesystem::remove(error_file);
    child_process child(program, arguments, error_file);
    program_result result;
    result.output = child.read_output();
    result.exit_code = child.wait_exit(run_limit).value_or(-1);
    std::ostringstream errors;
    errors << std::ifstream(error_file).rdbuf();
    result.errors = errors.str();
    return result;
}

} // namespace dandeliontack::harness
