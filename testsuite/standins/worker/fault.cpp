#include "fault.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace
{

constexpr std::array<std::pair<std::string_view, fault_mode>, 10> names{
    {{"none", fault_mode::none},
     {"truncate", fault_mode::truncate},
     {"double", fault_mode::twice},
     {"late", fault_mode::late},
     {"cross", fault_mode::cross},
     {"error", fault_mode::error},
     {"reset", fault_mode::reset},
     {"no-length", fault_mode::no_length},
     {"leaving", fault_mode::leaving},
     {"mix", fault_mode::mix}}};

// Half of the requests of a mix go well.
constexpr std::array drawn{
    fault_mode::truncate, fault_mode::twice, fault_mode::late,
    fault_mode::cross,    fault_mode::reset, fault_mode::no_length,
    fault_mode::none,     fault_mode::none,  fault_mode::none,
    fault_mode::none,     fault_mode::none,  fault_mode::none};

} // namespace

fault_mode parse_fault_mode(std::string_view name)
{
    const auto found =
        std::ranges::find(names, name, [](const auto& n) { return n.first; });
    return found == names.end() ? fault_mode::none : found->second;
}

fault_mode fault_plan::next()
{
    return mode_ == fault_mode::mix ? drawn[random_() % drawn.size()] : mode_;
}
