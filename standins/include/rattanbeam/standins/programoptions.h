#pragma once

#include <popt.h>

#include <deque>
#include <iostream>
#include <string>
#include <vector>

namespace rattanbeam::standins
{

inline constexpr int usageError = 2;

/// Command line of a stand-in: named texts, numbers and switches, with --help.
///
///     ProgramOptions options("rattanbeam-load");
///     options.text("target", target, "address of an instance").number("seconds", seconds, "length of the run");
///     if (!options.parse(argc, argv)) { return usageError; }
class ProgramOptions
{
public:
    explicit ProgramOptions(std::string program) : m_program(std::move(program))
    {}

    ProgramOptions &text(const char *name, std::string &value, const char *help)
    {
        m_texts.push_back({&value, nullptr});
        m_table.push_back({name, '\0', POPT_ARG_STRING, &m_texts.back().given, 0, help, "TEXT"});
        return *this;
    }
    ProgramOptions &number(const char *name, int &value, const char *help)
    {
        m_table.push_back({name, '\0', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &value, 0, help, "N"});
        return *this;
    }
    ProgramOptions &flag(const char *name, int &value, const char *help)
    {
        m_table.push_back({name, '\0', POPT_ARG_NONE, &value, 0, help, nullptr});
        return *this;
    }

    bool parse(int argc, const char **argv)
    {
        const poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
        m_table.push_back(help[0]);
        m_table.push_back(poptOption{});
        poptContext context = poptGetContext(m_program.c_str(), argc, argv, m_table.data(), 0);
        const int code = poptGetNextOpt(context);
        if (code < -1) {
            std::cerr << m_program << ": " << poptBadOption(context, 0) << ": " << poptStrerror(code) << '\n';
        }
        for (Text &text : m_texts) {
            if (text.given != nullptr) {
                *text.value = text.given;
            }
        }
        poptFreeContext(context);
        return code == -1;
    }

private:
    struct Text {
        std::string *value;
        char *given;
    };

    std::string m_program;
    std::deque<Text> m_texts;
    std::vector<poptOption> m_table;
};

} // namespace rattanbeam::standins
