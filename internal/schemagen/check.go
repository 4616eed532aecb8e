package main

import (
	"go/ast"
	"go/parser"
	"path"
	"slices"

	"github.com/cockroachdb/errors"
)

// settingTypes are the types that a setting may have.
var settingTypes = []string{"string", "bool", "int", "float", "duration", "list"}

// basicTypes are the predeclared types that a field may have.
var basicTypes = []string{
	"bool", "string", "byte", "int", "int8", "int16", "int32", "int64",
	"uint8", "uint16", "uint32", "uint64", "float32", "float64",
}

// checkMessages refuses two messages with one frame kind and fields of types
// that are not known. It returns every problem, joined.
func checkMessages(files map[string]*messageFile, paths []string) error {
	var errs []error
	kinds := map[int]string{}
	declared := declaredTypes(files)
	for _, path := range paths {
		file := files[path]
		for _, m := range file.Messages {
			if other, taken := kinds[m.Kind]; taken && m.Kind != 0 {
				errs = append(errs, m.Name.problem(path, "%s and %s share kind %d", m.Name, other, m.Kind))
			}
			kinds[m.Kind] = m.Name.Text
			for _, f := range m.Fields {
				if !knownType(f.Type.Text, file, declared[file.Package]) {
					errs = append(errs, f.Type.problem(path, "%s.%s: unknown type %q", m.Name, f.Name, f.Type))
				}
				if m.Append && appendFunctions[f.Type.Text] == "" {
					errs = append(errs, f.Type.problem(path, "%s.%s: type %q cannot be appended", m.Name, f.Name, f.Type))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// declaredTypes returns the names of the messages and enumerations of each
// package.
func declaredTypes(files map[string]*messageFile) map[string][]string {
	declared := map[string][]string{}
	for _, file := range files {
		for _, m := range file.Messages {
			declared[file.Package] = append(declared[file.Package], m.Name.Text)
		}
		for _, e := range file.Enums {
			declared[file.Package] = append(declared[file.Package], e.Name)
		}
	}
	return declared
}

// knownType tells whether a Go type can be used in a file: a basic type, one
// of the same package, json.RawMessage, one of an imported package, or a
// pointer, a slice or a map of these.
func knownType(text string, file *messageFile, declared []string) bool {
	expression, err := parser.ParseExpr(text)
	if err != nil {
		return false
	}
	var known func(ast.Expr) bool
	known = func(e ast.Expr) bool {
		switch t := e.(type) {
		case *ast.Ident:
			return slices.Contains(basicTypes, t.Name) || slices.Contains(declared, t.Name)
		case *ast.SelectorExpr:
			pkg, ok := t.X.(*ast.Ident)
			return ok && (pkg.Name == "json" && t.Sel.Name == "RawMessage" || imports(file, pkg.Name))
		case *ast.ArrayType:
			return known(t.Elt)
		case *ast.StarExpr:
			return known(t.X)
		case *ast.MapType:
			return known(t.Key) && known(t.Value)
		default:
			return false
		}
	}
	return known(expression)
}

func imports(file *messageFile, name string) bool {
	return slices.ContainsFunc(file.Imports, func(p string) bool { return path.Base(p) == name })
}

// checkSettings refuses unknown types and two settings of one program with
// the same flag. It returns every problem, joined.
func checkSettings(files map[string]*settingsFile, paths []string) error {
	var errs []error
	seen := map[string]string{} // place by program and flag
	for _, path := range paths {
		file := files[path]
		for _, s := range file.Settings {
			if !slices.Contains(settingTypes, s.Type.Text) {
				errs = append(errs, s.Type.problem(path, "-%s: unknown type %q", s.Flag, s.Type))
			}
			for _, program := range file.Programs {
				key := program + " " + s.Flag.Text
				if other := seen[key]; other != "" {
					errs = append(errs, s.Flag.problem(path, "flag -%s of %s is defined in %s too", s.Flag, program, other))
				}
				seen[key] = path
			}
		}
	}
	return errors.Join(errs...)
}
