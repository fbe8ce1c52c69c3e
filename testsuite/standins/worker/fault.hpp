#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

/// What the stand-in does wrong with its answers.
enum class fault_mode
{
    none,
    /// Sends half of the answer and closes.
    truncate,
    /// Sends the answer twice.
    twice,
    /// Answers later than asked for.
    late,
    /// Sends the answer to the request before.
    cross,
    /// Answers 500 at once and runs nothing.
    error,
    /// Runs the request, then resets the connection.
    reset,
    /// Sends an answer that only the connection's end would end.
    no_length,
    /// Answers well, and that it wants no new work.
    leaving,
    /// Draws one of the others, or none, for each request.
    mix
};

/// The mode of that name, or `none`.
fault_mode parse_fault_mode(std::string_view name);

/// Says for each request what goes wrong with it.
class fault_plan
{
public:
    void set(fault_mode mode, std::uint64_t seed)
    {
        mode_ = mode;
        random_.seed(seed);
    }
    fault_mode next();

private:
    fault_mode mode_ = fault_mode::none;
    std::mt19937_64 random_;
};
