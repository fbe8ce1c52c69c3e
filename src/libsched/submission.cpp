#include <dandeliontack/submission.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace dandeliontack
{

namespace
{

constexpr std::size_t name_digits = 16;
constexpr int hexadecimal = 16;
constexpr std::size_t task_name_numbers = 3;
// Limits that keep a single submission from using up a host's memory.
constexpr std::uint32_t max_tasks_per_step = 100'000;
constexpr std::uint64_t max_tasks = 100'000;
constexpr std::size_t max_text = 4000;
// Sums over all tasks of a submission stay within their types.
constexpr std::int64_t max_need = 1'000'000'000'000;
constexpr std::chrono::milliseconds max_duration = std::chrono::years(10);
// The time from the first to the last occurrence.
constexpr std::chrono::milliseconds max_schedule = std::chrono::years(1000);

template <class Number>
bool parse_number(std::string_view text, Number& out, int base = 10)
{
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, out, base);
    return error == std::errc() && stop == end;
}

} // namespace

resources operator+(const resources& a, const resources& b)
{
    return {
        a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
        a.accelerators + b.accelerators};
}

resources operator-(const resources& a, const resources& b)
{
    return {
        a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
        a.accelerators - b.accelerators};
}

std::string_view to_string(submission_phase phase)
{
    constexpr std::array<std::string_view, 5> names{
        "queued", "running", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(phase));
}

std::string submission_name(std::uint64_t id)
{
    std::array<char, name_digits> digits{};
    const auto [end, error] = std::to_chars(
        digits.data(), digits.data() + digits.size(), id, hexadecimal);
    const std::string text(digits.data(), end);
    return std::string(name_digits - text.size(), '0') + text;
}

std::optional<std::uint64_t> parse_submission_name(std::string_view text)
{
    const auto is_digit = [](unsigned char c) { return std::isxdigit(c) != 0; };
    std::uint64_t id = 0;
    if (text.size() != name_digits || !std::ranges::all_of(text, is_digit) ||
        !parse_number(text, id, hexadecimal))
        return std::nullopt;
    return id;
}

std::string task_name(const task_ref& task)
{
    return submission_name(task.submission) + "." +
           std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

std::optional<task_ref> parse_task_name(std::string_view text)
{
    task_ref task;
    const auto id = parse_submission_name(text.substr(0, name_digits));
    if (!id || text.size() <= name_digits)
        return std::nullopt;
    task.submission = *id;
    text.remove_prefix(name_digits);
    const std::array<std::uint32_t*, task_name_numbers> numbers{
        &task.occurrence, &task.step, &task.index};
    for (auto* number : numbers)
    {
        if (text.empty() || text.front() != '.')
            return std::nullopt;
        text.remove_prefix(1);
        const auto part = text.substr(0, text.find('.'));
        if (!parse_number(part, *number))
            return std::nullopt;
        text.remove_prefix(part.size());
    }
    return text.empty() ? std::optional(task) : std::nullopt;
}

std::uint64_t tasks_of(const submission_spec& spec)
{
    std::uint64_t sum = 0;
    for (const auto& step : spec.steps)
        sum += step.count;
    return sum;
}

std::vector<validation_error> check_submission(const submission_spec& spec)
{
    std::vector<validation_error> errors;
    if (spec.steps.empty())
        errors.push_back({"steps", "must contain at least one step"});
    if (spec.steps.size() > max_steps)
        errors.push_back(
            {"steps", "must contain at most " + std::to_string(max_steps) +
                          " steps, has at least " +
                          std::to_string(spec.steps.size())});
    if (spec.repetitions > 1 && spec.interval.count() <= 0)
        errors.push_back({"interval", "must be above 0"});
    if (spec.repetitions > 1 && spec.interval > max_schedule / spec.repetitions)
        errors.push_back(
            {"interval",
             "must be at most " +
                 std::to_string((max_schedule / spec.repetitions).count()) +
                 " ms for " + std::to_string(spec.repetitions) +
                 " repetitions, is " + std::to_string(spec.interval.count())});
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        const auto& step = spec.steps[i];
        const auto path = "steps[" + std::to_string(i) + "].";
        if (step.count == 0)
            errors.push_back({path + "count", "must be above 0"});
        if (step.count > max_tasks_per_step)
            errors.push_back(
                {path + "count", "must be at most " +
                                     std::to_string(max_tasks_per_step) +
                                     ", is " + std::to_string(step.count)});
        if (step.need.cpu_milli < 0 || step.need.memory_mb < 0 ||
            step.need.accelerators < 0)
            errors.push_back({path + "need", "must not be negative"});
        if (std::ranges::any_of(step.dependencies, [&](std::uint32_t other) {
                return other >= i;
            }))
            errors.push_back({path + "after", "must name earlier steps"});
    }
    return errors;
}

std::vector<validation_error> check_limits(const submission_spec& spec)
{
    std::vector<validation_error> errors;
    if (tasks_of(spec) > max_tasks)
        errors.push_back(
            {"steps", "must have at most " + std::to_string(max_tasks) +
                          " tasks together, have " +
                          std::to_string(tasks_of(spec))});
    if (spec.text.size() > max_text)
        errors.push_back(
            {"text", "must be at most " + std::to_string(max_text) +
                         " bytes long, is " +
                         std::to_string(spec.text.size())});
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        const auto& step = spec.steps[i];
        const auto path = "steps[" + std::to_string(i) + "].";
        const auto check = [&](std::string_view key, std::int64_t number,
                               std::int64_t most) {
            if (number < 0 || number > most)
                errors.push_back(
                    {path + std::string(key),
                     "must be from 0 to " + std::to_string(most) + ", is " +
                         std::to_string(number)});
        };
        check("need.cpu_milli", step.need.cpu_milli, max_need);
        check("need.memory_mb", step.need.memory_mb, max_need);
        check("need.accelerators", step.need.accelerators, max_need);
        check("estimate", step.estimate.count(), max_duration.count());
        check(
            "latency_objective", step.latency_objective.count(),
            max_duration.count());
    }
    return errors;
}

} // namespace dandeliontack
