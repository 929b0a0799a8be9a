import tseslint from "typescript-eslint";

const restrictedSyntax = [
    { selector: "Literal[raw='null']", message: "Use 'undefined'." },
    { selector: "TSEnumDeclaration", message: "Use a constant object." },
    { selector: "ClassDeclaration", message: "Use a factory function that closes over its state." },
    { selector: "ForInStatement", message: "Use 'Object.entries' or 'for ... of'." },
];

export default tseslint.config(
    { ignores: ["dist/", "target/", "node_modules/", "eslint.config.mjs"] },
    ...tseslint.configs.recommended,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", name: ["test", "it", "describe"], package: "node:test" }],
            }],
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
            ],
            "curly": "error",
            "eqeqeq": "error",
            "max-lines": ["error", { max: 300 }],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
        },
    },
);
