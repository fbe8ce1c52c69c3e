#include <dandeliontack/deflated_text.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack
{

namespace
{

constexpr std::size_t most_bytes = 1024 * 1024;

} // namespace

RC_GTEST_PROP(deflated_text, is_restored, (const std::string& text))
{
    RC_ASSERT(inflate(deflate(text), most_bytes) == text);
}

RC_GTEST_PROP(deflated_text, truncated_is_no_text, (const std::string& text))
{
    const auto whole = deflate(text);
    const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!inflate(std::string_view(whole).substr(0, length), most_bytes));
}

RC_GTEST_PROP(deflated_text, any_bytes_end, (const std::string& bytes))
{
    const auto text = inflate(bytes, most_bytes);
    RC_ASSERT(!text || text->size() <= most_bytes);
}

TEST(deflated_text, is_bounded)
{
    const std::string text(100'000, 'a');
    const auto bytes = deflate(text);
    EXPECT_LT(bytes.size(), 1'000U);
    EXPECT_EQ(inflate(bytes, text.size()), text);
    EXPECT_FALSE(inflate(bytes, text.size() - 1));
}

} // namespace dandeliontack
