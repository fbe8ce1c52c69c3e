#include <dandeliontack/ticket.hpp>
#include <dandeliontack/ticket_table.hpp>

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

namespace
{

using namespace dandeliontack;
using std::chrono::milliseconds;

std::shared_ptr<const http_response> answer_of(std::size_t bytes)
{
    auto response = std::make_shared<http_response>();
    response->body().assign(bytes, 'x');
    return response;
}

ticket_table::time_point at(milliseconds since_start)
{
    return ticket_table::time_point(since_start);
}

enum class action
{
    issue,
    copy,
    other_copy,
    answer,
    refuse,
    lose,
    pass_time
};

struct step
{
    action what = action::issue;
    std::uint64_t number = 0;
};

// What callers and upstreams saw of one ticket.
struct ticket_history
{
    int runs = 0;
    bool running = false;
    bool told_not_run = false;
    bool answered = false;
};

std::vector<step> draw_steps()
{
    const auto one = rc::gen::apply(
        [](int what, std::uint64_t number) {
            return step{static_cast<action>(what), number};
        },
        rc::gen::inRange(0, 7), rc::gen::inRange<std::uint64_t>(0, 4));
    return *rc::gen::container<std::vector<step>>(one);
}

void check_claim(const ticket_claim& claim, ticket_history& seen, bool other)
{
    switch (claim.verdict)
    {
    case ticket_verdict::run:
        RC_ASSERT(!seen.told_not_run);
        ++seen.runs;
        seen.running = true;
        break;
    case ticket_verdict::wait:
        RC_ASSERT(seen.running);
        break;
    case ticket_verdict::replay:
        RC_ASSERT(claim.answer != nullptr);
        RC_ASSERT(seen.answered);
        break;
    case ticket_verdict::not_run:
        RC_ASSERT(seen.told_not_run);
        break;
    case ticket_verdict::other_request:
        RC_ASSERT(other || seen.runs > 0);
        break;
    default:
        break;
    }
    RC_ASSERT(seen.runs <= 1);
}

void end_run(
    ticket_table& table, std::uint64_t number, ticket_history& seen,
    action what)
{
    if (!std::exchange(seen.running, false))
        return;
    if (what == action::answer)
    {
        seen.answered = true;
        table.finish(number, run_end::answered, answer_of(number * 40));
    }
    else if (what == action::refuse)
    {
        // The request did not reach an upstream.
        seen.told_not_run = true;
        table.finish(number, run_end::not_run, nullptr);
    }
    else
        table.finish(number, run_end::unknown, nullptr);
}

// Any interleaving of copies, ends, issues and expiry: runs <= 1, and nothing
// runs after `not-run` was said.
RC_GTEST_PROP(ticket_table, each_ticket_runs_at_most_once, ())
{
    ticket_table table({3, milliseconds(100), 100});
    std::map<std::uint64_t, ticket_history> all;
    milliseconds now{0};
    std::set<std::uint64_t> issued;
    for (const auto& s : draw_steps())
    {
        auto& seen = all[s.number];
        switch (s.what)
        {
        case action::issue:
            // Numbers are random: the service never draws one twice.
            if (issued.insert(s.number).second)
                table.issue(s.number, at(now));
            break;
        case action::copy:
        case action::other_copy:
        {
            const bool other = s.what == action::other_copy;
            check_claim(
                table.claim(s.number, other ? 2 : 1, at(now)), seen, other);
            break;
        }
        case action::pass_time:
            now += milliseconds(60);
            break;
        default:
            end_run(table, s.number, seen, s.what);
        }
        RC_ASSERT(table.size() <= 3U);
    }
}

TEST(ticket_table, a_copy_with_another_body_is_told_so)
{
    ticket_table table({});
    ASSERT_TRUE(table.issue(7, at({})));
    EXPECT_EQ(table.claim(7, 1, at({})).verdict, ticket_verdict::run);
    EXPECT_EQ(table.claim(7, 2, at({})).verdict, ticket_verdict::other_request);
    EXPECT_EQ(table.claim(7, 1, at({})).verdict, ticket_verdict::wait);
}

TEST(ticket_table, an_expired_ticket_is_forgotten_and_makes_room)
{
    ticket_table table({1, milliseconds(100), 100});
    ASSERT_TRUE(table.issue(1, at({})));
    EXPECT_FALSE(table.issue(2, at(milliseconds(99))));
    EXPECT_TRUE(table.issue(2, at(milliseconds(100))));
    EXPECT_EQ(
        table.claim(1, 1, at(milliseconds(100))).verdict,
        ticket_verdict::forgotten);
}

TEST(ticket_table, old_answers_make_room_for_new_ones)
{
    ticket_table table({10, milliseconds(100), 100});
    for (const std::uint64_t n : {1, 2})
    {
        ASSERT_TRUE(table.issue(n, at({})));
        table.claim(n, 1, at({}));
        table.finish(n, run_end::answered, answer_of(60));
    }
    EXPECT_EQ(table.claim(1, 1, at({})).verdict, ticket_verdict::answer_gone);
    EXPECT_EQ(table.claim(2, 1, at({})).verdict, ticket_verdict::replay);
}

RC_GTEST_PROP(
    ticket, parses_what_it_renders,
    (std::uint64_t high, std::uint64_t low, std::uint64_t number,
     std::uint16_t port))
{
    const ticket value{{high, low}, number, {"10.1.2.3", port}};
    RC_ASSERT(parse_ticket(to_string(value)) == value);
}

RC_GTEST_PROP(ticket, a_changed_text_is_read_alike_twice_or_not_at_all, ())
{
    const ticket value{{1, 2}, 3, {"127.0.0.1", 80}};
    auto text = to_string(value);
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
    const auto parsed = parse_ticket(text);
    const bool same_again =
        !parsed || parse_ticket(to_string(*parsed)) == parsed;
    RC_ASSERT(same_again);
}

} // namespace
