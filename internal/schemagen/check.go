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

// checkMessages rejects messages that share a frame kind and fields of unknown
// types. It returns all errors joined.
func checkMessages(files map[string]*messageFile, paths []string) error {
	var errs []error
	kinds := map[int]string{}
	declared := declaredTypes(files)
	for _, path := range paths {
		file := files[path]
		for _, m := range file.Messages {
			if other, taken := kinds[m.Kind]; taken && m.Kind != 0 {
				errs = append(errs, m.Name.errorf(path, "%s and %s share kind %d", m.Name, other, m.Kind))
			}
			kinds[m.Kind] = m.Name.Text
			for _, f := range m.Fields {
				if !isKnownType(f.Type.Text, file, declared[file.Package]) {
					errs = append(errs, f.Type.errorf(path, "%s.%s: unknown type %q", m.Name, f.Name, f.Type))
				}
				if m.Append && appendFunctions[f.Type.Text] == "" {
					errs = append(errs, f.Type.errorf(path, "%s.%s: type %q cannot be appended", m.Name, f.Name, f.Type))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// declaredTypes returns the names of the messages and enumerations by package.
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

// isKnownType reports whether a Go type can be used in a file: a basic type, one
// of the same package, json.RawMessage, one of an imported package, or a
// pointer, a slice or a map of these.
func isKnownType(text string, file *messageFile, declared []string) bool {
	expression, err := parser.ParseExpr(text)
	if err != nil {
		return false
	}
	var isKnown func(ast.Expr) bool
	isKnown = func(e ast.Expr) bool {
		switch t := e.(type) {
		case *ast.Ident:
			return slices.Contains(basicTypes, t.Name) || slices.Contains(declared, t.Name)
		case *ast.SelectorExpr:
			pkg, ok := t.X.(*ast.Ident)
			return ok && (pkg.Name == "json" && t.Sel.Name == "RawMessage" || isImported(file, pkg.Name))
		case *ast.ArrayType:
			return isKnown(t.Elt)
		case *ast.StarExpr:
			return isKnown(t.X)
		case *ast.MapType:
			return isKnown(t.Key) && isKnown(t.Value)
		default:
			return false
		}
	}
	return isKnown(expression)
}

func isImported(file *messageFile, name string) bool {
	return slices.ContainsFunc(file.Imports, func(p string) bool { return path.Base(p) == name })
}

// checkSettings rejects unknown types and settings of one program that share a
// flag. It returns all errors joined.
func checkSettings(files map[string]*settingsFile, paths []string) error {
	var errs []error
	seen := map[string]string{} // file by program and flag
	for _, path := range paths {
		file := files[path]
		for _, s := range file.Settings {
			if !slices.Contains(settingTypes, s.Type.Text) {
				errs = append(errs, s.Type.errorf(path, "-%s: unknown type %q", s.Flag, s.Type))
			}
			for _, program := range file.Programs {
				key := program + " " + s.Flag.Text
				if other := seen[key]; other != "" {
					errs = append(errs, s.Flag.errorf(path, "flag -%s of %s is already defined in %s", s.Flag, program, other))
				}
				seen[key] = path
			}
		}
	}
	return errors.Join(errs...)
}
