package rules

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxNumber bounds every count in a rule.
	maxNumber = 100_000_000
	// maxDuration bounds every duration in a rule.
	maxDuration = time.Hour
	// maxNames bounds a list of names in a rule.
	maxNames = 64
)

// option is one "name=value" part of a rule whose parsed value is a T. The
// functions below construct options with unkeyed fields: the name, whether the
// option is required, parse, and format.
type option[T any] struct {
	name     string
	required bool
	// parse stores the value that a text specifies in the T. It returns an error
	// when the text is not a valid value.
	parse func(*T, string) error
	// format returns the text of the value, or an empty text when the option is
	// not set.
	format func(T) string
}

// parseOptions parses the space-separated options of one rule. It returns the
// parsed value and all faults.
func parseOptions[T any](table []option[T], value string) (T, []error) {
	var parsed T
	var faults []error
	seen := map[string]bool{}
	for _, part := range strings.Fields(value) {
		name, text, _ := strings.Cut(part, "=")
		index := slices.IndexFunc(table, func(o option[T]) bool { return o.name == name })
		switch {
		case index < 0:
			faults = append(faults, fmt.Errorf("option %q is unknown", name))
		case seen[name]:
			faults = append(faults, fmt.Errorf("option %s is given twice", name))
		default:
			seen[name] = true
			if err := table[index].parse(&parsed, text); err != nil {
				faults = append(faults, fmt.Errorf("option %s: %w", name, err))
			}
		}
	}
	for _, o := range table {
		if o.required && !seen[o.name] {
			faults = append(faults, fmt.Errorf("option %s is missing", o.name))
		}
	}
	return parsed, faults
}

// formatOptions returns the options of a value in the form that parseOptions
// reads.
func formatOptions[T any](table []option[T], value T) string {
	var parts []string
	for _, o := range table {
		if text := o.format(value); text != "" {
			parts = append(parts, o.name+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

// namePattern matches a name, such as that of a model or an organisation.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.New("the name is not made of up to 63 letters, digits, dots, hyphens and underscores")
	}
	return nil
}

// nameOption is a name.
func nameOption[T any](name string, required bool, field func(*T) *string) option[T] {
	return option[T]{name, required, func(t *T, text string) error {
		*field(t) = text
		return checkName(text)
	}, func(t T) string { return *field(&t) }}
}

// namesOption is an optional comma-separated list of up to maxNames names.
func namesOption[T any](name string, field func(*T) *[]string) option[T] {
	return option[T]{name, false, func(t *T, text string) error {
		names := strings.Split(text, ",")
		if len(names) > maxNames {
			return fmt.Errorf("the list has more than %d names", maxNames)
		}
		for _, n := range names {
			if err := checkName(n); err != nil {
				return err
			}
		}
		*field(t) = names
		return nil
	}, func(t T) string { return strings.Join(*field(&t), ",") }}
}

// numberOption is an integer from minimum to maxNumber, inclusive. An optional number that
// is zero is not formatted.
func numberOption[T any](name string, required bool, minimum int, field func(*T) *int) option[T] {
	return option[T]{name, required, func(t *T, text string) error {
		number, err := strconv.Atoi(text)
		if err != nil || number < minimum || number > maxNumber {
			return fmt.Errorf("the value is not an integer between %d and %d", minimum, maxNumber)
		}
		*field(t) = number
		return nil
	}, func(t T) string {
		if number := *field(&t); number != 0 || required {
			return strconv.Itoa(number)
		}
		return ""
	}}
}

// rateOption is an optional positive rate such as "50/s", up to maxNumber per second.
func rateOption[T any](name string, field func(*T) *float64) option[T] {
	return option[T]{name, false, func(t *T, text string) error {
		number, hasUnit := strings.CutSuffix(text, "/s")
		rate, err := strconv.ParseFloat(number, 64)
		if err != nil || !hasUnit || !(rate > 0 && rate <= maxNumber) {
			return fmt.Errorf("the value is not a rate such as 50/s, up to %d/s", maxNumber)
		}
		*field(t) = rate
		return nil
	}, func(t T) string {
		if rate := *field(&t); rate != 0 {
			return strconv.FormatFloat(rate, 'f', -1, 64) + "/s"
		}
		return ""
	}}
}

// durationOption is an optional positive duration up to maxDuration, followed by
// the suffix, for example "2ms/MiB".
func durationOption[T any](name, suffix string, field func(*T) *time.Duration) option[T] {
	return option[T]{name, false, func(t *T, text string) error {
		number, hasSuffix := strings.CutSuffix(text, suffix)
		duration, err := time.ParseDuration(number)
		if err != nil || !hasSuffix || duration <= 0 || duration > maxDuration {
			return fmt.Errorf("the value is not a duration such as 2ms%s, up to %s", suffix, maxDuration)
		}
		*field(t) = duration
		return nil
	}, func(t T) string {
		if duration := *field(&t); duration != 0 {
			return duration.String() + suffix
		}
		return ""
	}}
}

// flagOption is "yes" or "no". An optional flag that is not set is not formatted.
func flagOption[T any](name string, required bool, field func(*T) *bool) option[T] {
	return option[T]{name, required, func(t *T, text string) error {
		if text != "yes" && text != "no" {
			return errors.New("the value is not yes or no")
		}
		*field(t) = text == "yes"
		return nil
	}, func(t T) string {
		switch {
		case *field(&t):
			return "yes"
		case required:
			return "no"
		}
		return ""
	}}
}

// choiceOption is an optional text that is one of the choices.
func choiceOption[T any](name string, choices []string, field func(*T) *string) option[T] {
	return option[T]{name, false, func(t *T, text string) error {
		if !slices.Contains(choices, text) {
			return fmt.Errorf("the value is not one of %s", strings.Join(choices, ", "))
		}
		*field(t) = text
		return nil
	}, func(t T) string { return *field(&t) }}
}
