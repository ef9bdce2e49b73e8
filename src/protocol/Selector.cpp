#include "protocol/Selector.h"

#include "support/UserError.h"

#include <algorithm>
#include <fmt/format.h>

namespace chicoryferry {

namespace {

// Reads a selector from left to right. Errors contain the offset of the next character.
class SelectorScanner {
public:
    explicit SelectorScanner(std::string_view selectorText)
        : text(selectorText)
    {
    }

    bool atEnd()
    {
        this->skipSpace();
        return this->offset == this->text.size();
    }

    bool consume(std::string_view token)
    {
        this->skipSpace();
        if (!this->text.substr(this->offset).starts_with(token)) {
            return false;
        }
        this->offset += token.size();
        return true;
    }

    // Consumes the word only when no name character follows, so that a key named "input" is not read as "in".
    bool consumeWord(std::string_view word)
    {
        const std::size_t start = this->offset;
        if (this->consume(word) && (this->offset == this->text.size() || !isNameCharacter(this->text[this->offset]))) {
            return true;
        }
        this->offset = start;
        return false;
    }

    std::string name(const char* expected)
    {
        this->skipSpace();
        const std::size_t start = this->offset;
        while (this->offset < this->text.size() && isNameCharacter(this->text[this->offset])) {
            ++this->offset;
        }
        if (this->offset == start) {
            this->fail(expected);
        }
        return std::string(this->text.substr(start, this->offset - start));
    }

    [[noreturn]] void fail(const char* expected)
    {
        throw UserError("parse selector", std::string(this->text),
            fmt::format("expected {} at position {}", expected, this->offset));
    }

private:
    static bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_'
            || character == '.' || character == '/';
    }

    void skipSpace()
    {
        while (
            this->offset < this->text.size() && (this->text[this->offset] == ' ' || this->text[this->offset] == '\t')) {
            ++this->offset;
        }
    }

    std::string_view text;
    std::size_t offset { 0 };
};

std::vector<std::string> parseValueSet(SelectorScanner& scanner)
{
    if (!scanner.consume("(")) {
        scanner.fail("'('");
    }
    std::vector<std::string> values { scanner.name("a label value") };
    while (scanner.consume(",")) {
        values.push_back(scanner.name("a label value"));
    }
    if (!scanner.consume(")")) {
        scanner.fail("',' or ')'");
    }
    return values;
}

Requirement parseRequirement(SelectorScanner& scanner)
{
    if (scanner.consume("!")) {
        return LabelAbsent { scanner.name("a label key") };
    }
    std::string key = scanner.name("a label key");
    if (scanner.consume("!=")) {
        return LabelNotIn { std::move(key), { scanner.name("a label value") } };
    }
    if (scanner.consume("==") || scanner.consume("=")) {
        return LabelIn { std::move(key), { scanner.name("a label value") } };
    }
    if (scanner.consumeWord("notin")) {
        return LabelNotIn { std::move(key), parseValueSet(scanner) };
    }
    if (scanner.consumeWord("in")) {
        return LabelIn { std::move(key), parseValueSet(scanner) };
    }
    return LabelExists { std::move(key) };
}

struct RequirementMatcher {
    const std::map<std::string, std::string>& labels;

    bool hasOneOf(const std::string& key, const std::vector<std::string>& values) const
    {
        const auto label = this->labels.find(key);
        return label != this->labels.end() && std::find(values.begin(), values.end(), label->second) != values.end();
    }

    bool operator()(const LabelIn& requirement) const { return this->hasOneOf(requirement.key, requirement.values); }
    bool operator()(const LabelNotIn& requirement) const
    {
        return !this->hasOneOf(requirement.key, requirement.values);
    }
    bool operator()(const LabelExists& requirement) const { return this->labels.contains(requirement.key); }
    bool operator()(const LabelAbsent& requirement) const { return !this->labels.contains(requirement.key); }
};

}

Selector Selector::parse(std::string_view text)
{
    SelectorScanner scanner(text);
    Selector selector;
    if (scanner.atEnd()) {
        return selector;
    }
    selector.parsedRequirements.push_back(parseRequirement(scanner));
    while (!scanner.atEnd()) {
        if (!scanner.consume(",")) {
            scanner.fail("',' or the end of the selector");
        }
        selector.parsedRequirements.push_back(parseRequirement(scanner));
    }
    return selector;
}

bool Selector::matches(const std::map<std::string, std::string>& labels) const
{
    const RequirementMatcher matcher { labels };
    return std::all_of(this->parsedRequirements.begin(), this->parsedRequirements.end(),
        [&](const Requirement& requirement) { return std::visit(matcher, requirement); });
}

}
