#pragma once

#include <dandeliontack/report_sample.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace dandeliontack::tack_report
{

/// A process that is asked.
struct report_source
{
    endpoint address;
    process_role role = process_role::entry;
};

/// Whom to ask, how often, and where to keep what they say.
struct collection
{
    std::vector<report_source> sources;
    unsigned rounds = 0;
    std::chrono::milliseconds interval{};
    std::chrono::milliseconds timeout{};
    std::string token;
    /// Samples are appended to it unless it is empty.
    std::string samples_file;
};

/// Asks every process in every round. One that does not answer gives an empty
/// sample.
std::vector<process_sample> collect(const collection& wanted);

} // namespace dandeliontack::tack_report
