#pragma once

#include <dandeliontack/endpoint.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace dandeliontack::tackctl
{

/// What the flags say.
struct options
{
    endpoint log;
    endpoint control;
    std::string publisher;
    std::chrono::milliseconds timeout{};
    bool json = false;
};

// Each runs one command and returns the exit code.
int check(const options& chosen, const std::vector<std::string>& arguments);
int publish(const options& chosen, const std::vector<std::string>& arguments);
int status(const options& chosen, const std::vector<std::string>& arguments);

} // namespace dandeliontack::tackctl
