// Reconstructs the history of a request from logs, and summarises the delays of
// late jobs. Works on parsed lines and does no I/O.
#ifndef JUJUBE_CTL_EXPLANATION_H_
#define JUJUBE_CTL_EXPLANATION_H_

#include <string>
#include <vector>

#include "jujube/logging/parsed_line.h"

namespace jujube::ctl {

// Returns the lines about a request in causal order, independent of clock skew
// between hosts. Each host's lines keep their order, earlier terms of the
// control group precede later terms, and a call precedes its effects, which
// precede its response. Lines about the workers that ran the request and about
// leader changes are merged in.
std::vector<logging::ParsedLine>
linesAbout(const std::string &request,
           const std::vector<logging::ParsedLine> &all);

// Formats the lines for display, with the time since the first line and a
// summary of the outcome.
std::string explanationText(const std::string &request,
                            const std::vector<logging::ParsedLine> &lines);

// Returns a table of the jobs that missed their objective: for each queue their
// number and their mean time by cause of the wait.
std::string latenessText(const std::vector<logging::ParsedLine> &all);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_EXPLANATION_H_
