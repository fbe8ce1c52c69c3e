// Whatever clients send, decoding it neither fails nor costs more than its
// bound, and what is accepted can be planned and stored. Run with sanitizers;
// FUZZ_ROUNDS and FUZZ_SEED choose a longer run of one's own.

#include <dandeliontack/http2_frame_scan.hpp>
#include <dandeliontack/http_header_scan.hpp>
#include <dandeliontack/pool_engine.hpp>
#include <dandeliontack/stored_records.hpp>

#include <gtest/gtest.h>
#include <platform/host_calls.hpp>
#include <platform/operator_records.hpp>
#include <platform/submission_calls.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>
#include <string>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t most_decoded_bytes = 2 * 1024 * 1024;
constexpr std::size_t longest_input = 64 * 1024;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const auto* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

const std::array<std::string, 4> seeds{
    R"({"spec":"x","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":1,)"
    R"("estimateMs":900,"affinity":"r1-3","requirements":"a"},{"count":20,)"
    R"("cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"gang":true,)"
    R"("checkpointing":true,"antiAffinity":2,"image":"i"}]})",
    R"({"repetitions":3,"firstMs":1772877785786,"intervalMs":500,"phases":[)"
    R"({"count":1,"cpu":1},{"count":2,"after":[0,0,0],"longRunning":true,)"
    R"("targetMs":50,"mayMiss":1},{"count":1,"fills":true}]})",
    R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":)"
    R"("/p/","timeoutMs":3000,"service":"p","maxAttempts":2,"stretch":2.2}],)"
    R"("services":[{"name":"p"}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"a","apiKeys":["k"],"weight":2}]})",
    R"({"clockMs":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,)"
    R"("00",41,7]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"};

const std::array<std::string, 24> tokens{
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"\"",
    "null",
    "-1",
    "0",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "1e308",
    "-1e308",
    "1e15",
    "100000",
    "0.5",
    "\"\\u0000\"",
    "\"after\":[0,0,0,0]",
    "{\"count\":100000}",
    "\"repetitions\":4294967295"};

// Changes a text as the next numbers of its generator say.
class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(
            random_);
    }

    std::string operator()(std::string text)
    {
        for (auto i = below(8) + 1; i > 0; --i)
            change(text);
        text.resize(std::min(text.size(), longest_input));
        return text;
    }

private:
    void change(std::string& text)
    {
        const auto at = below(text.size() + 1);
        const auto length =
            below(std::min<std::size_t>(text.size() - at + 1, 1 + below(64)));
        switch (below(6))
        {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, tokens.at(below(tokens.size())));
            break;
        case 2:
            text.insert(at, repeated(text.substr(at, length)));
            break;
        case 3:
            replace_number(text, at);
            break;
        case 4:
            text.insert(at, 1, static_cast<char>(below(256)));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(below(256));
        }
    }

    std::string repeated(const std::string& part)
    {
        std::string out;
        for (auto times = below(200); times > 0; --times)
            out += part;
        return out;
    }

    // Puts a token in the place of the next number.
    void replace_number(std::string& text, std::size_t at)
    {
        constexpr std::string_view digits = "0123456789";
        const auto first = text.find_first_of(digits, at);
        if (first == std::string::npos)
            return;
        const auto last =
            std::min(text.find_first_not_of(digits, first), text.size());
        text.replace(first, last - first, tokens.at(below(tokens.size())));
    }

    std::mt19937_64 random_;
};

// Takes the submission through its life in an engine.
void run_accepted(const submission_spec& spec)
{
    submission_record record{7, spec, {}, {}, 1, "a"};
    record.terms.pool = "pool";
    record.terms.route = "r";
    record.terms.max_attempts = 2;
    const auto bytes = encode(record);
    const auto stored = decode_submission_record(bytes);
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored->spec, spec);

    const auto memory = std::make_shared<kept_memory>();
    memory->limit = most_decoded_bytes;
    const auto needed = memory_of(record);
    if (!memory->has_room(needed.fixed + needed.occurrence))
        return;
    {
        pool_terms terms;
        terms.memory = memory;
        pool_engine engine(terms, 1);
        moment now{
            boot_time(1h),
            std::chrono::sys_days(std::chrono::year(2026) / 12 / 7)};
        engine.begin(now);
        host_entry host;
        host.id = "h";
        host.born = 1ms;
        host.address = "127.0.0.1:1";
        host.pool = "pool";
        host.capacity = {64'000, 256'000, 8};
        engine.apply(pool_event::hosts_listed{{host}}, now);
        engine.apply(pool_event::submitted{record}, now);
        engine.apply(
            pool_event::batch_stored{engine.take_changes().batch}, now);
        for (int i = 0; i < 3; ++i)
        {
            now.steady += 200ms;
            now.wall += 200ms;
            engine.apply(pool_event::tick{}, now);
        }
        engine.demands(now);
        EXPECT_LE(memory->held, memory->limit);
        engine.apply(pool_event::cancelled{record.id}, now);
        engine.apply(
            pool_event::batch_stored{engine.take_changes().batch}, now);
        engine.apply(pool_event::tick{}, now);
        EXPECT_LE(
            memory->held, finished_submission_bytes + memory_of_runs(1000));
    }
    EXPECT_EQ(memory->held, 0U);
}

void decode_all(const std::string& text)
{
    const auto decoded = platform::decode_submission(text, most_decoded_bytes);
    if (const auto* spec = std::get_if<submission_spec>(&decoded))
    {
        EXPECT_LE(spec->steps.size(), max_steps + 1);
        if (check_submission(*spec).empty() && check_limits(*spec).empty())
            run_accepted(*spec);
    }
    else
    {
        constexpr std::size_t largest_answer = 16 * 1024;
        EXPECT_LE(
            to_string(std::get<findings>(decoded)).size(), largest_answer);
    }
    platform::decode_hold(text);
    platform::decode_configuration(text);
    decode_submission_record(text);
    scan_header(text);
    http2_frame_scan frames({});
    frames.take("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + text);
}

} // namespace

TEST(decoder_fuzz, changed_inputs_keep_within_bounds)
{
    const auto rounds = number_from("FUZZ_ROUNDS", 20'000);
    const auto first = number_from("FUZZ_SEED", 1);
    for (std::uint64_t seed = first; seed < first + rounds; ++seed)
    {
        SCOPED_TRACE("FUZZ_ROUNDS=1 FUZZ_SEED=" + std::to_string(seed));
        mutator change(seed);
        decode_all(change(seeds.at(change.below(seeds.size()))));
        if (HasFailure())
            return;
    }
}

} // namespace dandeliontack
